//! Datagrams and transfers between routers.

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

/// Bytes of IP and UDP headers around each datagram.
const HEADER_BYTES: u64 = 28;
/// Largest transfer that is accepted from a peer, in bytes.
const MAX_TRANSFER_BYTES: u32 = 16 << 20;
/// Longest time that a transfer may take.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends a message to a peer; returns the bytes that it took.
///
/// Datagrams may be lost, so a failure to send is only logged.
pub(crate) fn send(node: &Node, to: SocketAddr, message: &Message) -> u64 {
    let datagram = match encode(message) {
        Ok(datagram) => datagram,
        Err(err) => {
            warn!("peer: dropped a message to {to}: {err}");
            return 0;
        }
    };
    let bytes = datagram.len() as u64 + HEADER_BYTES;
    node.metrics.sent.with_label_values(&[message.kind().as_str()]).inc_by(bytes);
    if let Err(err) = node.socket.try_send_to(&datagram, to) {
        debug!("peer: sending to {to} failed: {err}");
    }
    bytes
}

/// Sends a message to every live peer.
pub(crate) fn broadcast(node: &Node, message: &Message) {
    let peers: Vec<SocketAddr> =
        node.cores.borrow().members.peers(node.now()).map(|it| it.heartbeat.peer).collect();
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
                let bytes = length as u64 + HEADER_BYTES;
                node.metrics.received.with_label_values(&[message.kind().as_str()]).inc_by(bytes);
                dispatch(&node, message, from);
            }
            Err(_) => node.metrics.undecodable.inc(),
        }
    }
}

fn dispatch(node: &Rc<Node>, message: Message, from: SocketAddr) {
    match message {
        Message::Gossip(gossip) => gossip::absorb(node, gossip),
        Message::Loads(loads) => loads::handle_loads(node, &loads),
        Message::Admit { engine, request: ask } => take_ask(node, engine, ask, from),
        Message::AdmitReply { engine, id, decision: verdict } => {
            take_verdict(node, engine, id, verdict, from);
        }
        Message::Release { engine, id } => admission::release(node, engine, id),
        Message::Note { key, prefix } => take_note(node, key, prefix, from),
        Message::NoteReply { key, reply } => {
            node.notes.deliver(&key, reply);
        }
        Message::Seal { key, prefix } => take_seal(node, key, prefix, from),
        Message::SealReply { key, reply } => {
            node.seals.deliver(&key, reply);
        }
        Message::Finish { key, answer } => {
            let witness = &mut node.cores.borrow_mut().witness;
            match answer {
                Some(answer) => witness.mark_finished(key, answer),
                None => witness.mark_refused(key),
            }
            send(node, from, &Message::FinishAck { key });
        }
        Message::FinishAck { key } => {
            node.finishes.deliver(&key, ());
        }
        Message::Leaving { endpoint, incarnation } => {
            if let Some(known) = node.cores.borrow_mut().endpoints.get_mut(endpoint) {
                known.record_leave_notice(incarnation);
            }
        }
        Message::CrashReport(blame) => crashes::handle_report(node, &blame),
    }
}

fn take_ask(node: &Rc<Node>, engine: EndpointId, ask: AdmissionRequest, from: SocketAddr) {
    let verdict = admission::decide(node, engine, ask);
    send(node, from, &Message::AdmitReply { engine, id: ask.id, decision: verdict });
}

fn take_verdict(
    node: &Node,
    engine: EndpointId,
    id: AdmissionId,
    verdict: Decision,
    from: SocketAddr,
) {
    let awaited = node.verdicts.deliver(&id, verdict);
    if !awaited && verdict.is_granted() {
        // The request was given up; its grant must not linger.
        send(node, from, &Message::Release { engine, id });
    }
}

fn take_note(node: &Node, key: KeyId, prefix: KeyPrefix, from: SocketAddr) {
    let reply = node.cores.borrow_mut().witness.note(key, prefix, node.now());
    send(node, from, &Message::NoteReply { key, reply });
}

fn take_seal(node: &Node, key: KeyId, prefix: KeyPrefix, from: SocketAddr) {
    let reply = node.cores.borrow_mut().witness.seal(key, prefix, node.now());
    send(node, from, &Message::SealReply { key, reply });
}

/// Hands what the platform told this router to peers that connect.
pub(crate) async fn serve_transfers(node: Rc<Node>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let node = Rc::clone(&node);
        tokio::task::spawn_local(async move {
            let _ = time::timeout(TRANSFER_TIMEOUT, write_transfer(&node, stream)).await;
        });
    }
}

async fn write_transfer(node: &Node, mut stream: TcpStream) -> Result<()> {
    let bytes = postcard::to_stdvec(&make_transfer(node))?;
    stream.write_u32(u32::try_from(bytes.len())?).await?;
    stream.write_all(&bytes).await?;
    node.metrics.sent.with_label_values(&["transfer"]).inc_by(bytes.len() as u64);
    Ok(())
}

fn make_transfer(node: &Node) -> StateTransfer {
    let cores = node.cores.borrow();
    let endpoints = cores.endpoints.iter().map(|(_, it)| it.info.clone()).collect();
    StateTransfer { head_replica: cores.fold.clone(), endpoints }
}

/// Asks a peer for what the platform told it.
///
/// # Errors
///
/// Returns an error if the transfer fails or takes too long.
pub(crate) async fn fetch_transfer(node: &Node, peer: SocketAddr) -> Result<StateTransfer> {
    let bytes = time::timeout(TRANSFER_TIMEOUT, read_transfer(peer)).await??;
    node.metrics.received.with_label_values(&["transfer"]).inc_by(bytes.len() as u64);
    Ok(postcard::from_bytes(&bytes)?)
}

async fn read_transfer(peer: SocketAddr) -> Result<Vec<u8>> {
    let mut stream = TcpStream::connect(peer).await?;
    let length = stream.read_u32().await?;
    if length > MAX_TRANSFER_BYTES {
        return Err(eyre!("transfer of {length} bytes is too large"));
    }
    let mut bytes = vec![0; length as usize];
    stream.read_exact(&mut bytes).await?;
    Ok(bytes)
}
