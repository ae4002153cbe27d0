//! An HTTP client that opens a new connection for each call.

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

/// An HTTP request under construction.
#[derive(Debug, Clone)]
pub struct Call {
    addr: SocketAddr,
    method: Method,
    path: String,
    body: Bytes,
    timeout: Duration,
    meter: Meter,
    if_none_match: Option<String>,
}

/// The complete response to a [`Call`].
#[derive(Debug, Clone)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Response body.
    pub body: Bytes,
    /// Value of the `ETag` header.
    pub etag: Option<String>,
}

impl Call {
    /// Creates a GET request for `path` at `addr`.
    pub fn get(addr: SocketAddr, path: impl Into<String>) -> Call {
        Call {
            addr,
            method: Method::GET,
            path: path.into(),
            body: Bytes::new(),
            timeout: Duration::from_secs(2),
            meter: Meter::default(),
            if_none_match: None,
        }
    }

    /// Creates a POST request with `body` for `path` at `addr`.
    pub fn post(addr: SocketAddr, path: impl Into<String>, body: impl Into<Bytes>) -> Call {
        Call { method: Method::POST, body: body.into(), ..Call::get(addr, path) }
    }

    /// Sets the timeout, which applies separately to the connection attempt and to
    /// the response; two seconds by default.
    #[must_use]
    pub fn timeout(mut self, timeout: Duration) -> Call {
        self.timeout = timeout;
        self
    }

    /// Sets the meter that counts the bytes of the call.
    #[must_use]
    pub fn meter(mut self, meter: &Meter) -> Call {
        self.meter = meter.clone();
        self
    }

    /// Sets the `If-None-Match` header; the response has status 304 and no body if
    /// the entity tag is still current.
    #[must_use]
    pub fn if_none_match(mut self, etag: Option<String>) -> Call {
        self.if_none_match = etag;
        self
    }

    /// Sends the request and reads the complete response, whatever its status.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or breaks, or the timeout expires.
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

    /// Sends the request and returns the body of a successful response.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Call::send`], and an error if the status is not 200.
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
        if let Some(etag) = self.if_none_match {
            builder = builder.header(IF_NONE_MATCH, etag);
        }
        let request = builder.body(Full::new(self.body)).map_err(Error::malformed)?;
        let response = sender.send_request(request).await.map_err(Error::broken)?;
        let status = response.status().as_u16();
        let etag = response.headers().get(ETAG).and_then(|it| it.to_str().ok()).map(str::to_owned);
        let body = response.into_body().collect().await.map_err(Error::broken)?.to_bytes();
        Ok(Reply { status, body, etag })
    }
}
