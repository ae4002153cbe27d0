//! Small HTTP calls over fresh connections.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Method, Request,
    client::conn::http1,
    header::{ETAG, HOST, IF_NONE_MATCH},
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task, time};

use crate::{
    error::{Error, Result},
    meter::Meter,
};

/// A call to another process.
#[derive(Debug, Clone)]
pub struct Call {
    addr: SocketAddr,
    method: Method,
    path: String,
    body: Bytes,
    timeout: Duration,
    meter: Meter,
    known_tag: Option<String>,
}

/// The whole answer to a [`Call`].
#[derive(Debug, Clone)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Bytes,
    /// Tag of the version that the body shows.
    pub tag: Option<String>,
}

impl Call {
    /// Starts building a GET of `path` at `addr`.
    pub fn get(addr: SocketAddr, path: impl Into<String>) -> Call {
        Call {
            addr,
            method: Method::GET,
            path: path.into(),
            body: Bytes::new(),
            timeout: Duration::from_secs(2),
            meter: Meter::default(),
            known_tag: None,
        }
    }

    /// Starts building a POST of `body` to `path` at `addr`.
    pub fn post(addr: SocketAddr, path: impl Into<String>, body: impl Into<Bytes>) -> Call {
        Call { method: Method::POST, body: body.into(), ..Call::get(addr, path) }
    }

    /// Sets the limit for connecting and for the answer; two seconds by default.
    #[must_use]
    pub fn timeout(mut self, timeout: Duration) -> Call {
        self.timeout = timeout;
        self
    }

    /// Sets the meter that counts the call's bytes.
    #[must_use]
    pub fn meter(mut self, meter: &Meter) -> Call {
        self.meter = meter.clone();
        self
    }

    /// Sets the tag of a version that the caller has; the answer has status 304
    /// and no body if that is still the newest.
    #[must_use]
    pub fn known_tag(mut self, tag: Option<String>) -> Call {
        self.known_tag = tag;
        self
    }

    /// Sends the call and waits for the whole answer, whatever its status.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or breaks, or a limit passes.
    pub async fn send(self) -> Result<Reply> {
        let connect = time::timeout(self.timeout, TcpStream::connect(self.addr));
        let stream = match connect.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(err)) => return Err(Error::connect(err)),
            Err(_) => return Err(Error::connect_timeout()),
        };
        let timeout = self.timeout;
        match time::timeout(timeout, self.exchange(stream)).await {
            Ok(reply) => reply,
            Err(_) => Err(Error::timeout()),
        }
    }

    /// Sends the call and returns the body of a successful answer.
    ///
    /// # Errors
    ///
    /// As [`Call::send`], and if the status is not 200.
    pub async fn send_ok(self) -> Result<Bytes> {
        let reply = self.send().await?;
        if reply.status == 200 { Ok(reply.body) } else { Err(Error::status(reply.status)) }
    }

    async fn exchange(self, stream: TcpStream) -> Result<Reply> {
        let io = TokioIo::new(self.meter.wrap(stream));
        let (mut sender, connection) = http1::handshake(io).await.map_err(Error::broken)?;
        task::spawn_local(connection);
        let mut builder = Request::builder()
            .method(self.method)
            .uri(self.path)
            .header(HOST, self.addr.to_string());
        if let Some(tag) = self.known_tag {
            builder = builder.header(IF_NONE_MATCH, tag);
        }
        let request = builder.body(Full::new(self.body)).map_err(Error::malformed)?;
        let response = sender.send_request(request).await.map_err(Error::broken)?;
        let status = response.status().as_u16();
        let tag = response.headers().get(ETAG).and_then(|it| it.to_str().ok()).map(str::to_owned);
        let body = response.into_body().collect().await.map_err(Error::broken)?.to_bytes();
        Ok(Reply { status, body, tag })
    }
}
