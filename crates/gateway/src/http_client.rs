//! HTTP client for the platform's servers.

use std::net::SocketAddrV4;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Method, Request, Response, Uri,
    header::{CONTENT_TYPE, HOST, HeaderValue},
};

use crate::{
    clock::Clock,
    error::{Error, Result},
    pool::{Pool, SendError},
};

/// Maximum size of a response's body, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;

/// HTTP client for one server, with a connection pool.
#[derive(Debug)]
pub struct HttpClient {
    pool: Pool,
    host: HeaderValue,
}

impl HttpClient {
    /// Creates a client of the server at `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is not a valid header value.
    pub fn new(address: SocketAddrV4) -> Result<HttpClient> {
        let host = HeaderValue::from_str(&address.to_string()).map_err(Error::malformed)?;
        Ok(HttpClient { pool: Pool::new(address, Clock::start()), host })
    }

    /// Sends a request and returns the response with its whole body.
    ///
    /// # Errors
    ///
    /// Returns an error if the path is invalid or no complete response arrives.
    pub async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Response<Bytes>> {
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method;
        *request.uri_mut() = path.parse::<Uri>().map_err(Error::malformed)?;
        request.headers_mut().insert(HOST, self.host.clone());
        request
            .headers_mut()
            .insert(CONTENT_TYPE, HeaderValue::from_static("application/octet-stream"));
        let (response, connection) = self.pool.send(request).await.map_err(|err| {
            Error::unreachable(match err {
                SendError::Unreachable => "cannot connect",
                SendError::Expired => "request expired",
                SendError::ConnectionLost { .. } => "connection lost",
            })
        })?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
        let body = body.map_err(Error::unreachable)?.to_bytes();
        self.pool.release(connection);
        Ok(Response::from_parts(head, body))
    }
}
