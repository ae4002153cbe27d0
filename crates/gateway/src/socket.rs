//! Options of the gateway's TCP sockets.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    time::Duration,
};

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Idle time before the first keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
/// Interval between two keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keepalive probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;
/// TCP user timeout: the time after which a connection is closed if sent data is not
/// acknowledged; longer than a sound endpoint is silent.
const USER_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Size of the kernel's buffers for a connection, in bytes, which it does not adapt then.
const BUFFER_BYTES: u32 = 32 << 10;
/// Maximum number of connections waiting to be accepted.
const BACKLOG: u32 = 1_024;

/// Sets the options of a connection: disables Nagle's algorithm, enables
/// keepalive probes, and closes the connection if sent data is not acknowledged
/// within [`USER_TIMEOUT`].
pub(crate) fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

/// Connects to `address`, from the local address `local` if there is one.
pub(crate) async fn connect(
    local: Option<Ipv4Addr>,
    address: SocketAddrV4,
) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    limit_buffers(&socket);
    if let Some(local) = local {
        socket.bind((local, 0).into())?;
    }
    socket.connect(address.into()).await
}

/// Resets the connection when it is closed, so that a request that was given up is not
/// retransmitted: a cut link would deliver it once it works again.
pub(crate) fn reset_on_close(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}

/// Bounds the kernel's buffers of a connection, or of those that a socket accepts.
fn limit_buffers(socket: &TcpSocket) {
    // A system that refuses this has bounds of its own.
    let _ = socket.set_recv_buffer_size(BUFFER_BYTES);
    let _ = socket.set_send_buffer_size(BUFFER_BYTES);
}

/// Opens a listening socket.
pub(crate) fn listen(address: SocketAddrV4) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    limit_buffers(&socket);
    socket.bind(SocketAddr::V4(address))?;
    socket.listen(BACKLOG)
}
