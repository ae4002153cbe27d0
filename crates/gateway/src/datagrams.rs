//! Sends messages to other gateways in UDP datagrams, in the form that each understands.

use std::{cell::OnceCell, net::Ipv4Addr};

use mimosaledge_peer::{Error, Message, Version, datagram};
use tokio::net::UdpSocket;

use crate::gateway::Gateway;

/// Bytes of IP and UDP headers per datagram.
const DATAGRAM_HEADER_BYTES: usize = 28;

/// A message, encoded for the versions of its recipients.
pub(crate) struct Outgoing {
    message: Message,
    current: OnceCell<Option<Vec<u8>>>,
    before_permits: OnceCell<Option<Vec<u8>>>,
}

impl Outgoing {
    /// Creates a message that is not encoded yet.
    pub(crate) fn new(message: Message) -> Outgoing {
        Outgoing { message, current: OnceCell::new(), before_permits: OnceCell::new() }
    }

    /// Returns the size of the message for gateways of this build, in bytes.
    pub(crate) fn len(&self) -> usize {
        self.bytes_for(Version::CURRENT).map_or(0, <[u8]>::len)
    }

    /// Returns the bytes for a gateway of `version`, or `None` if it does not know the
    /// message.
    fn bytes_for(&self, version: Version) -> Option<&[u8]> {
        let (encoded, version) = match version.has_permits() {
            true => (&self.current, Version::CURRENT),
            false => (&self.before_permits, Version::BEFORE_PERMITS),
        };
        encoded.get_or_init(|| encode(&self.message, version)).as_deref()
    }
}

/// Encodes a message; one that cannot be encoded is logged.
fn encode(message: &Message, version: Version) -> Option<Vec<u8>> {
    let encoded = datagram::encode(message, version);
    encoded.inspect_err(|err| spdlog::error!("peer: cannot encode datagram, cause={err}")).ok()?
}

/// Sends a message.
pub(crate) async fn send(
    gateway: &Gateway,
    socket: &UdpSocket,
    outgoing: &Outgoing,
    to: &[Ipv4Addr],
) {
    let port = gateway.settings.listen.peers;
    for address in to {
        let version = gateway.peers.borrow().version_of(*address);
        let Some(bytes) = outgoing.bytes_for(version) else { continue };
        // Lost datagrams are not resent; a later heartbeat supersedes them.
        let _ = socket.send_to(bytes, (*address, port)).await;
        count_sent(gateway, bytes.len());
    }
}

/// Sends a message without waiting for space in the socket's buffer.
pub(crate) fn send_now(gateway: &Gateway, message: Message, to: &[Ipv4Addr]) {
    let Some(socket) = gateway.peer_socket.get() else { return };
    let outgoing = Outgoing::new(message);
    let port = gateway.settings.listen.peers;
    for address in to {
        let version = gateway.peers.borrow().version_of(*address);
        let Some(bytes) = outgoing.bytes_for(version) else { continue };
        if let Err(err) = socket.try_send_to(bytes, (*address, port).into()) {
            spdlog::warn!("peer: datagram not sent, address={address} cause={err}");
        }
        count_sent(gateway, bytes.len());
    }
}

fn count_sent(gateway: &Gateway, length: usize) {
    let sent = (length + DATAGRAM_HEADER_BYTES) as u64;
    gateway.metrics.peer_bytes.with_label_values(&["sent"]).inc_by(sent);
}

/// Counts a received datagram with `length` bytes of payload.
pub(crate) fn count_received(gateway: &Gateway, length: usize) {
    let received = (length + DATAGRAM_HEADER_BYTES) as u64;
    gateway.metrics.peer_bytes.with_label_values(&["received"]).inc_by(received);
}

/// Counts a datagram that cannot be decoded, and logs it unless one of the same sender was
/// logged lately.
pub(crate) fn reject(gateway: &Gateway, from: Ipv4Addr, length: usize, err: &Error) {
    gateway.metrics.peer_rejected.with_label_values(&[err.label()]).inc();
    if gateway.rejections.borrow_mut().record(from, gateway.now()) {
        spdlog::warn!("peer: cannot decode datagram, address={from} bytes={length} cause={err}");
    }
}
