//! Sends messages to other gateways in UDP datagrams.

use std::net::Ipv4Addr;

use tokio::net::UdpSocket;

use crate::{gateway::Gateway, messages::Message};

/// Bytes of IP and UDP headers per datagram.
const DATAGRAM_HEADER_BYTES: usize = 28;

/// Encodes a message; one that cannot be encoded is logged.
pub(crate) fn encode(message: &Message) -> Option<Vec<u8>> {
    let encoded = postcard::to_stdvec(message);
    encoded.inspect_err(|err| spdlog::error!("peer: cannot encode datagram, cause={err}")).ok()
}

/// Sends an encoded message.
pub(crate) async fn send(gateway: &Gateway, socket: &UdpSocket, bytes: &[u8], to: &[Ipv4Addr]) {
    let port = gateway.settings.listen.peers;
    for address in to {
        // Lost datagrams are not resent; a later heartbeat supersedes them.
        let _ = socket.send_to(bytes, (*address, port)).await;
    }
    count_sent(gateway, bytes, to);
}

/// Sends a message without waiting for space in the socket's buffer.
pub(crate) fn send_now(gateway: &Gateway, message: &Message, to: &[Ipv4Addr]) {
    let Some(socket) = gateway.peer_socket.get() else { return };
    let Some(bytes) = encode(message) else { return };
    let port = gateway.settings.listen.peers;
    for address in to {
        if let Err(err) = socket.try_send_to(&bytes, (*address, port).into()) {
            spdlog::warn!("peer: datagram not sent, address={address} cause={err}");
        }
    }
    count_sent(gateway, &bytes, to);
}

fn count_sent(gateway: &Gateway, bytes: &[u8], to: &[Ipv4Addr]) {
    let sent = (bytes.len() + DATAGRAM_HEADER_BYTES) * to.len();
    gateway.metrics.peer_bytes.with_label_values(&["sent"]).inc_by(sent as u64);
}

/// Counts a received datagram with `length` bytes of payload.
pub(crate) fn count_received(gateway: &Gateway, length: usize) {
    let received = (length + DATAGRAM_HEADER_BYTES) as u64;
    gateway.metrics.peer_bytes.with_label_values(&["received"]).inc_by(received);
}
