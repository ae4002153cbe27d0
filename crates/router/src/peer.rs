//! Datagrams and state transfers between routers.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use eyre::{Result, eyre};
use mimosaledge_core::{
    admission::{AdmissionId, AdmissionRequest, Decision},
    endpoints::EndpointId,
    idempotency::{KeyId, KeyPrefix},
};
use mimosaledge_wire::{MAX_DATAGRAM_BYTES, Message, StateTransfer, decode, encode};
use spdlog::{debug, warn};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time,
};

use crate::{admission, crashes, gossip, loads, node::Node};

/// Size of the IP and UDP headers of a datagram, counted as control traffic.
const IP_UDP_HEADER_BYTES: u64 = 28;
/// Maximum size of a state transfer accepted from a peer, in bytes.
const MAX_TRANSFER_BYTES: u32 = 16 << 20;
/// Timeout of a state transfer.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends a message to a peer; returns the number of bytes sent, with headers.
///
/// A failure is only logged, because senders must tolerate lost datagrams anyway.
pub(crate) fn send(node: &Node, to: SocketAddr, message: &Message) -> u64 {
    let datagram = match encode(message) {
        Ok(datagram) => datagram,
        Err(err) => {
            warn!("peer: cannot encode message to {to}: {err}");
            return 0;
        }
    };
    let bytes = datagram.len() as u64 + IP_UDP_HEADER_BYTES;
    node.metrics.sent.with_label_values(&[message.kind().as_str()]).inc_by(bytes);
    if let Err(err) = node.socket.try_send_to(&datagram, to) {
        debug!("peer: cannot send to {to}: {err}");
    }
    bytes
}

/// Sends a message to every live peer.
pub(crate) fn broadcast(node: &Node, message: &Message) {
    let peers: Vec<SocketAddr> =
        node.state.borrow().members.peers(node.now()).map(|it| it.heartbeat.peer).collect();
    for peer in peers {
        send(node, peer, message);
    }
}

/// Receives datagrams until it is dropped.
pub(crate) async fn receive(node: Rc<Node>) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        let Ok((length, from)) = node.socket.recv_from(&mut buffer).await else { continue };
        match decode(&buffer[..length]) {
            Ok(message) => {
                let bytes = length as u64 + IP_UDP_HEADER_BYTES;
                node.metrics.received.with_label_values(&[message.kind().as_str()]).inc_by(bytes);
                dispatch(&node, message, from);
            }
            Err(_) => node.metrics.undecodable.inc(),
        }
    }
}

fn dispatch(node: &Rc<Node>, message: Message, from: SocketAddr) {
    match message {
        Message::Gossip(gossip) => gossip::merge(node, gossip),
        Message::Loads(loads) => loads::handle_loads(node, &loads),
        Message::Admit { engine, request } => handle_admit(node, engine, request, from),
        Message::AdmitReply { engine, id, decision } => {
            handle_admit_reply(node, engine, id, decision, from);
        }
        Message::Release { engine, id } => admission::release(node, engine, id),
        Message::Note { key, prefix } => handle_note(node, key, prefix, from),
        Message::NoteReply { key, reply } => {
            node.note_replies.deliver(&key, reply);
        }
        Message::Seal { key, prefix } => handle_seal(node, key, prefix, from),
        Message::SealReply { key, reply } => {
            node.seal_replies.deliver(&key, reply);
        }
        Message::Finish { key, answer } => {
            let witness = &mut node.state.borrow_mut().key_witness;
            match answer {
                Some(answer) => witness.mark_finished(key, answer),
                None => witness.mark_refused(key),
            }
            send(node, from, &Message::FinishAck { key });
        }
        Message::FinishAck { key } => {
            node.finish_acks.deliver(&key, ());
        }
        Message::Leaving { endpoint, incarnation } => {
            if let Some(known) = node.state.borrow_mut().endpoints.get_mut(endpoint) {
                known.record_leave_notice(incarnation);
            }
        }
        Message::CrashReport(report) => crashes::handle_report(node, &report),
    }
}

fn handle_admit(node: &Rc<Node>, engine: EndpointId, request: AdmissionRequest, from: SocketAddr) {
    let decision = admission::decide(node, engine, request);
    send(node, from, &Message::AdmitReply { engine, id: request.id, decision });
}

fn handle_admit_reply(
    node: &Node,
    engine: EndpointId,
    id: AdmissionId,
    decision: Decision,
    from: SocketAddr,
) {
    let delivered = node.admission_replies.deliver(&id, decision);
    if !delivered && decision.is_granted() {
        // The request no longer waits for admission, so its grant is released.
        send(node, from, &Message::Release { engine, id });
    }
}

fn handle_note(node: &Node, key: KeyId, prefix: KeyPrefix, from: SocketAddr) {
    let reply = node.state.borrow_mut().key_witness.note(key, prefix, node.now());
    send(node, from, &Message::NoteReply { key, reply });
}

fn handle_seal(node: &Node, key: KeyId, prefix: KeyPrefix, from: SocketAddr) {
    let reply = node.state.borrow_mut().key_witness.seal(key, prefix, node.now());
    send(node, from, &Message::SealReply { key, reply });
}

/// Sends the state read from the platform to each peer that connects, until it is
/// dropped.
pub(crate) async fn serve_transfers(node: Rc<Node>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let node = Rc::clone(&node);
        tokio::task::spawn_local(async move {
            let _ = time::timeout(TRANSFER_TIMEOUT, send_state(&node, stream)).await;
        });
    }
}

async fn send_state(node: &Node, mut stream: TcpStream) -> Result<()> {
    let bytes = postcard::to_stdvec(&build_state_transfer(node))?;
    stream.write_u32(u32::try_from(bytes.len())?).await?;
    stream.write_all(&bytes).await?;
    node.metrics.sent.with_label_values(&["transfer"]).inc_by(bytes.len() as u64);
    Ok(())
}

fn build_state_transfer(node: &Node) -> StateTransfer {
    let state = node.state.borrow();
    let endpoints = state.endpoints.iter().map(|(_, it)| it.info.clone()).collect();
    StateTransfer { head_replica: state.head_replica.clone(), endpoints }
}

/// Fetches the state that a peer has read from the platform.
///
/// # Errors
///
/// Returns an error if the transfer fails or times out.
pub(crate) async fn fetch_state(node: &Node, peer: SocketAddr) -> Result<StateTransfer> {
    let bytes = time::timeout(TRANSFER_TIMEOUT, read_state_bytes(peer)).await??;
    node.metrics.received.with_label_values(&["transfer"]).inc_by(bytes.len() as u64);
    Ok(postcard::from_bytes(&bytes)?)
}

async fn read_state_bytes(peer: SocketAddr) -> Result<Vec<u8>> {
    let mut stream = TcpStream::connect(peer).await?;
    let length = stream.read_u32().await?;
    if length > MAX_TRANSFER_BYTES {
        return Err(eyre!(
            "state transfer of {length} bytes exceeds the limit of {MAX_TRANSFER_BYTES}"
        ));
    }
    let mut bytes = vec![0; length as usize];
    stream.read_exact(&mut bytes).await?;
    Ok(bytes)
}
