//! Pooled connections to endpoints and routers.
//!
//! A connection goes back to the pool only after a whole answer was read from
//! it, so no request ever meets the late answer of another.

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

/// Idle time after which a pooled connection is not trusted.
const MAX_IDLE: Duration = Duration::from_secs(5);
/// Idle connections kept per address.
const MAX_POOLED: usize = 32;

/// A result whose error is a [`PoolError`].
pub type Result<T> = std::result::Result<T, PoolError>;

/// Why a request got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PoolError {
    /// The connection was refused: no process listens, and no byte of the
    /// request was sent.
    Refused,
    /// No connection was made for another reason; no byte of the request was
    /// sent.
    NotConnected,
    /// The connection broke or fell silent after bytes may have been sent.
    Broken,
}

impl std::error::Error for PoolError {}

impl fmt::Display for PoolError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            PoolError::Refused => "connection refused",
            PoolError::NotConnected => "connection failed",
            PoolError::Broken => "connection broke",
        })
    }
}

#[derive(Debug)]
struct Idle {
    sender: SendRequest<Full<Bytes>>,
    since: Instant,
}

#[derive(Debug, Default)]
struct Idles {
    idle: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
}

/// Makes and pools connections.
#[derive(Debug)]
pub struct Pool {
    idles: Rc<Idles>,
    connect_limit: Duration,
}

/// A connection with at most one request on it.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    addr: SocketAddr,
    idles: Rc<Idles>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(connect_limit: Duration) -> Pool {
        Pool { idles: Rc::default(), connect_limit }
    }

    /// Returns an idle connection to `addr`, or makes one.
    ///
    /// # Errors
    ///
    /// Returns [`PoolError::Refused`] or [`PoolError::NotConnected`] if no
    /// connection can be made.
    pub async fn reuse(&self, addr: SocketAddr) -> Result<Connection> {
        while let Some(idle) = self.idles.take(addr) {
            if idle.since.elapsed() < MAX_IDLE && idle.sender.is_ready() {
                return Ok(self.wrap(addr, idle.sender));
            }
        }
        self.connect(addr).await
    }

    /// Makes a new connection to `addr`, which proves that the way is open.
    ///
    /// # Errors
    ///
    /// Returns [`PoolError::Refused`] or [`PoolError::NotConnected`] if no
    /// connection can be made.
    pub async fn connect(&self, addr: SocketAddr) -> Result<Connection> {
        let stream = match time::timeout(self.connect_limit, TcpStream::connect(addr)).await {
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
        Connection { sender, addr, idles: Rc::clone(&self.idles) }
    }
}

impl Idles {
    fn take(&self, addr: SocketAddr) -> Option<Idle> {
        self.idle.borrow_mut().get_mut(&addr)?.pop()
    }

    fn put(&self, addr: SocketAddr, sender: SendRequest<Full<Bytes>>) {
        let mut idle = self.idle.borrow_mut();
        let pooled = idle.entry(addr).or_default();
        pooled.retain(|it| it.since.elapsed() < MAX_IDLE);
        if pooled.len() < MAX_POOLED {
            pooled.push(Idle { sender, since: Instant::now() });
        }
    }
}

impl Connection {
    /// Sends a request and waits at most `limit` for the head of the answer.
    ///
    /// # Errors
    ///
    /// Returns [`PoolError::Broken`] if the connection breaks or `limit` passes.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Response<Incoming>> {
        match time::timeout(limit, self.sender.send_request(request)).await {
            Ok(Ok(response)) => Ok(response),
            _ => Err(PoolError::Broken),
        }
    }

    /// Gives the connection back after the whole answer was read.
    pub fn recycle(self) {
        self.idles.put(self.addr, self.sender);
    }
}
