//! HTTP connection pool for one server.

use std::{
    cell::RefCell,
    collections::VecDeque,
    error::Error,
    io,
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::http1::{Builder, SendRequest},
};
use hyper_util::rt::TokioIo;
use mimosaledge_core::Millis;
use tokio::{task::AbortHandle, time::timeout};

use crate::{clock::Clock, socket};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum size of a response's head, and of what is read at once, in bytes.
const MAX_READ_BYTES: usize = 64 << 10;
/// Idle time after which a connection is closed if the server reports no idle
/// timeout, in milliseconds.
const DEFAULT_MAX_IDLE_MS: u64 = 4_000;
/// Share of the server's idle timeout after which a connection is not reused,
/// so that no request races with the server's close.
const IDLE_TIMEOUT_SHARE: f64 = 0.6;

/// Why a request got no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendError {
    /// No connection could be established; the request was not sent.
    Unreachable,
    /// The request was no longer allowed when the connection was open; it was not sent.
    Expired,
    /// The connection was lost after the request may have been sent; `idle_ms`
    /// is the time for which the connection had been idle, in milliseconds, or
    /// `None` for a new connection, and `io` the I/O error, if it was one.
    ConnectionLost { idle_ms: Option<u64>, io: Option<io::ErrorKind> },
}

/// Which connection a request is sent on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionChoice {
    /// An idle one if there is one.
    Any,
    /// A new one.
    New,
}

/// An HTTP/1.1 connection that carries one request at a time; dropping it
/// closes it.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    max_idle_ms: u64,
    idle_since: Millis,
    /// Whether it has carried a response before.
    is_reused: bool,
}

impl Connection {
    /// Returns whether the connection has carried a response before, of which a copy may
    /// arrive late.
    pub(crate) fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Sets the idle timeout of the server, if it reported one.
    pub(crate) fn set_idle_timeout(&mut self, timeout_ms: Option<u64>) {
        if let Some(timeout_ms) = timeout_ms {
            self.max_idle_ms = (timeout_ms as f64 * IDLE_TIMEOUT_SHARE) as u64;
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Pool of idle connections to one server.
#[derive(Debug)]
pub(crate) struct Pool {
    address: SocketAddrV4,
    /// Local address of the connections, if it matters.
    local: Option<Ipv4Addr>,
    clock: Clock,
    idle: RefCell<VecDeque<Connection>>,
}

impl Pool {
    /// Creates an empty pool.
    pub(crate) fn new(address: SocketAddrV4, clock: Clock) -> Pool {
        Pool { address, local: None, clock, idle: RefCell::default() }
    }

    /// Connects from the address `local`.
    pub(crate) fn with_local(self, local: Ipv4Addr) -> Pool {
        Pool { local: Some(local), ..self }
    }

    /// Sends a request and waits for the response head.
    ///
    /// A request that was not written because a pooled connection had closed is
    /// sent on another connection.
    ///
    /// # Errors
    ///
    /// Returns an error that states whether the request may have reached the
    /// server.
    pub(crate) async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Connection), SendError> {
        self.send_on(ConnectionChoice::Any, || Some(request.clone())).await
    }

    /// Does what [`Pool::send`] does, on the connection of this choice. The request is built
    /// when the connection is open, and may then turn out to be no longer allowed.
    pub(crate) async fn send_on(
        &self,
        choice: ConnectionChoice,
        build: impl Fn() -> Option<Request<Full<Bytes>>>,
    ) -> Result<(Response<Incoming>, Connection), SendError> {
        loop {
            let idle = match choice {
                ConnectionChoice::Any => self.take_idle(),
                ConnectionChoice::New => None,
            };
            let (mut connection, idle_ms) = match idle {
                Some((connection, idle_ms)) => (connection, Some(idle_ms)),
                None => (self.connect().await?, None),
            };
            let request = build().ok_or(SendError::Expired)?;
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok((response, connection)),
                Err(mut err) => match err.take_message() {
                    Some(_) if idle_ms.is_some() => {}
                    Some(_) => return Err(SendError::Unreachable),
                    None => {
                        let io = io_error_kind(err.error());
                        return Err(SendError::ConnectionLost { idle_ms, io });
                    }
                },
            }
        }
    }

    /// Returns a connection to the pool after its response has been read
    /// completely.
    pub(crate) fn release(&self, mut connection: Connection) {
        connection.idle_since = self.clock.now();
        connection.is_reused = true;
        self.idle.borrow_mut().push_back(connection);
    }

    /// Returns whether there are no idle connections.
    pub(crate) fn is_empty(&self) -> bool {
        self.idle.borrow().is_empty()
    }

    /// Closes all idle connections.
    pub(crate) fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes connections that are broken or have been idle for too long.
    pub(crate) fn close_expired(&self) {
        let now = self.clock.now();
        self.idle.borrow_mut().retain(|it| is_usable(it, now));
    }

    /// Returns whether the server accepts connections.
    pub(crate) async fn try_connect(&self) -> bool {
        match timeout(CONNECT_TIMEOUT, socket::connect(self.local, self.address)).await {
            Ok(connected) => connected.is_ok(),
            Err(_) => false,
        }
    }

    /// Takes the connection that has been idle for longest, and returns it with
    /// its idle time in milliseconds.
    ///
    /// If an endpoint sends a duplicate response, this order makes it likely
    /// that the duplicate arrives while the connection is still idle, so that
    /// it is not taken for the response to the next request.
    fn take_idle(&self) -> Option<(Connection, u64)> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        while let Some(connection) = idle.pop_front() {
            if is_usable(&connection, now) {
                let idle_ms = now.since(connection.idle_since);
                return Some((connection, idle_ms));
            }
        }
        None
    }

    async fn connect(&self) -> Result<Connection, SendError> {
        let connecting = async {
            let stream = socket::connect(self.local, self.address).await?;
            socket::set_options(&stream)?;
            socket::reset_on_close(&stream)?;
            Ok::<_, std::io::Error>(stream)
        };
        let stream = match timeout(CONNECT_TIMEOUT, connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(_)) | Err(_) => return Err(SendError::Unreachable),
        };
        let (sender, driver) = Builder::new()
            .max_buf_size(MAX_READ_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|_| SendError::Unreachable)?;
        // Connection errors are reported through the request in flight.
        let task = tokio::task::spawn_local(async move { driver.await.unwrap_or_default() });
        let idle_since = self.clock.now();
        Ok(Connection {
            sender,
            task: task.abort_handle(),
            max_idle_ms: DEFAULT_MAX_IDLE_MS,
            idle_since,
            is_reused: false,
        })
    }
}

/// Returns the kind of the I/O error that caused `err`, such as a connection that the
/// operating system has timed out.
pub(crate) fn io_error_kind(err: &hyper::Error) -> Option<io::ErrorKind> {
    let mut source = err.source();
    while let Some(cause) = source {
        if let Some(io) = cause.downcast_ref::<io::Error>() {
            return Some(io.kind());
        }
        source = cause.source();
    }
    None
}

fn is_usable(connection: &Connection, now: Millis) -> bool {
    connection.sender.is_ready() && now.since(connection.idle_since) < connection.max_idle_ms
}
