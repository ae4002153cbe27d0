//! A pool of HTTP connections.
//!
//! A connection returns to the pool only after a complete response has been read
//! from it, so a request never receives the delayed response to an earlier one.

use std::{
    cell::RefCell,
    collections::HashMap,
    fmt, io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task, time};

/// Idle time after which a pooled connection is no longer reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of idle connections per address.
const MAX_IDLE_PER_ADDR: usize = 32;

/// Alias for a `Result` with the error type [`PoolError`].
pub type Result<T> = std::result::Result<T, PoolError>;

/// The reason that a request got no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PoolError {
    /// The connection was refused: no process is listening, and no byte of the
    /// request was sent.
    Refused,
    /// No connection was established for another reason; no byte of the request
    /// was sent.
    NotConnected,
    /// The connection broke or timed out after bytes may have been sent.
    Broken,
}

impl std::error::Error for PoolError {}

impl fmt::Display for PoolError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            PoolError::Refused => "connection refused",
            PoolError::NotConnected => "connection failed",
            PoolError::Broken => "connection broken",
        })
    }
}

#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    idle_since: Instant,
}

#[derive(Debug, Default)]
struct IdleConnections {
    by_addr: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

/// A connection pool, which opens a new connection if none is idle.
#[derive(Debug)]
pub struct Pool {
    idle_connections: Rc<IdleConnections>,
    connect_timeout: Duration,
}

/// A connection that carries at most one request at a time.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    addr: SocketAddr,
    idle_connections: Rc<IdleConnections>,
}

impl Pool {
    /// Creates an empty pool whose connection attempts fail after
    /// `connect_timeout`.
    pub fn new(connect_timeout: Duration) -> Pool {
        Pool { idle_connections: Rc::default(), connect_timeout }
    }

    /// Returns an idle connection to `addr`, or opens a new one.
    ///
    /// # Errors
    ///
    /// Returns [`PoolError::Refused`] or [`PoolError::NotConnected`] if no
    /// connection can be established.
    pub async fn acquire(&self, addr: SocketAddr) -> Result<Connection> {
        while let Some(idle) = self.idle_connections.pop(addr) {
            if idle.idle_since.elapsed() < IDLE_TIMEOUT && idle.sender.is_ready() {
                return Ok(self.wrap(addr, idle.sender));
            }
        }
        self.connect(addr).await
    }

    /// Opens a new connection to `addr`, which proves that the address is
    /// reachable.
    ///
    /// # Errors
    ///
    /// Returns [`PoolError::Refused`] or [`PoolError::NotConnected`] if no
    /// connection can be established.
    pub async fn connect(&self, addr: SocketAddr) -> Result<Connection> {
        let stream = match time::timeout(self.connect_timeout, TcpStream::connect(addr)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(err)) if err.kind() == io::ErrorKind::ConnectionRefused => {
                return Err(PoolError::Refused);
            }
            _ => return Err(PoolError::NotConnected),
        };
        let _ = stream.set_nodelay(true);
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|_| PoolError::NotConnected)?;
        task::spawn_local(connection);
        Ok(self.wrap(addr, sender))
    }

    fn wrap(&self, addr: SocketAddr, sender: SendRequest<Full<Bytes>>) -> Connection {
        Connection { sender, addr, idle_connections: Rc::clone(&self.idle_connections) }
    }
}

impl IdleConnections {
    fn pop(&self, addr: SocketAddr) -> Option<IdleConnection> {
        self.by_addr.borrow_mut().get_mut(&addr)?.pop()
    }

    fn push(&self, addr: SocketAddr, sender: SendRequest<Full<Bytes>>) {
        let mut by_addr = self.by_addr.borrow_mut();
        let pooled = by_addr.entry(addr).or_default();
        pooled.retain(|it| it.idle_since.elapsed() < IDLE_TIMEOUT);
        if pooled.len() < MAX_IDLE_PER_ADDR {
            pooled.push(IdleConnection { sender, idle_since: Instant::now() });
        }
    }
}

impl Connection {
    /// Sends a request and waits at most `timeout` for the response headers.
    ///
    /// # Errors
    ///
    /// Returns [`PoolError::Broken`] if the connection breaks or `timeout` expires.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Incoming>> {
        match time::timeout(timeout, self.sender.send_request(request)).await {
            Ok(Ok(response)) => Ok(response),
            _ => Err(PoolError::Broken),
        }
    }

    /// Returns the connection to the pool; must be called only after the complete
    /// response has been read.
    pub fn recycle(self) {
        self.idle_connections.push(self.addr, self.sender);
    }
}
