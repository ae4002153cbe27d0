//! Connections to one endpoint.

use std::{cell::RefCell, collections::VecDeque, net::SocketAddrV4, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::http1::{SendRequest, handshake},
};
use hyper_util::rt::TokioIo;
use mimosaledge_core::Millis;
use tokio::{net::TcpStream, task::AbortHandle, time::timeout};

use crate::{clock::Clock, socket};

/// Longest time for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time that an idle connection is kept if the endpoint sets none.
const DEFAULT_IDLE_MS: u64 = 4_000;
/// Share of the endpoint's idle limit after which a connection is not used
/// again, so that a request does not cross the endpoint's close.
const IDLE_SHARE: f64 = 0.6;

/// Why a request was not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendError {
    /// No connection could be made; the request was not sent.
    Unreachable,
    /// The request was sent, and its connection broke; the connection had been
    /// idle for so long before, in milliseconds, or was new.
    Broken { idle_ms: Option<u64> },
}

/// A connection that carries one request at a time.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    idle_ms: u64,
    idle_since: Millis,
}

impl Connection {
    /// Sets how long the endpoint lets the connection idle.
    pub(crate) fn set_idle_limit(&mut self, limit_ms: Option<u64>) {
        if let Some(limit_ms) = limit_ms {
            self.idle_ms = (limit_ms as f64 * IDLE_SHARE) as u64;
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Idle connections to one endpoint.
#[derive(Debug)]
pub(crate) struct Pool {
    address: SocketAddrV4,
    clock: Clock,
    idle: RefCell<VecDeque<Connection>>,
}

impl Pool {
    /// Makes an empty pool.
    pub(crate) fn new(address: SocketAddrV4, clock: Clock) -> Pool {
        Pool { address, clock, idle: RefCell::default() }
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Tells whether the request may have reached the endpoint.
    pub(crate) async fn send(
        &self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Connection), SendError> {
        loop {
            let (mut connection, idle_ms) = match self.take_idle() {
                Some((connection, idle_ms)) => (connection, Some(idle_ms)),
                None => (self.connect().await?, None),
            };
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok((response, connection)),
                Err(mut err) => match err.take_message() {
                    Some(unsent) if idle_ms.is_some() => request = unsent,
                    Some(_) => return Err(SendError::Unreachable),
                    None => return Err(SendError::Broken { idle_ms }),
                },
            }
        }
    }

    /// Takes back a connection whose answer has been read to its end.
    pub(crate) fn give_back(&self, mut connection: Connection) {
        connection.idle_since = self.clock.now();
        self.idle.borrow_mut().push_back(connection);
    }

    /// Closes all idle connections.
    pub(crate) fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes idle connections that are past their limit.
    pub(crate) fn trim(&self) {
        let now = self.clock.now();
        self.idle.borrow_mut().retain(|it| is_usable(it, now));
    }

    /// Returns whether the endpoint accepts connections.
    pub(crate) async fn try_connect(&self) -> bool {
        match timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await {
            Ok(connected) => connected.is_ok(),
            Err(_) => false,
        }
    }

    // The connection that has been idle longest goes first: a second answer
    // that an endpoint sends late then arrives while the connection is idle.
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
            let stream = TcpStream::connect(self.address).await?;
            socket::set_options(&stream, socket::ENDPOINT_TIMEOUT)?;
            Ok::<_, std::io::Error>(stream)
        };
        let stream = match timeout(CONNECT_TIMEOUT, connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(_)) | Err(_) => return Err(SendError::Unreachable),
        };
        let (sender, driver) =
            handshake(TokioIo::new(stream)).await.map_err(|_| SendError::Unreachable)?;
        // How the connection ends shows in the request that it carries.
        let task = tokio::task::spawn_local(async move { driver.await.unwrap_or_default() });
        let idle_since = self.clock.now();
        Ok(Connection { sender, task: task.abort_handle(), idle_ms: DEFAULT_IDLE_MS, idle_since })
    }
}

fn is_usable(connection: &Connection, now: Millis) -> bool {
    connection.sender.is_ready() && now.since(connection.idle_since) < connection.idle_ms
}
