//! Options of the sockets that the gateway opens.

use std::{
    io,
    net::{SocketAddr, SocketAddrV4},
    time::Duration,
};

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Idle time before the kernel asks whether the peer still answers.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
/// Pause between two such questions.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered questions after which a connection is dead.
const KEEPALIVE_PROBES: u32 = 2;
/// Time after which a client's or peer's connection with unacknowledged data is
/// dead.
pub(crate) const PEER_TIMEOUT: Duration = Duration::from_millis(2_000);
/// The same for an endpoint: another one can still answer in time.
pub(crate) const ENDPOINT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Sets the options of a connection: small pieces leave at once, and a silent
/// peer is found out, at the latest `timeout` after something was sent to it.
pub(crate) fn prepare(stream: &TcpStream, timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(timeout))
}

/// Opens a listening socket.
pub(crate) fn listen(address: SocketAddrV4) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(SocketAddr::V4(address))?;
    socket.listen(BACKLOG)
}
