//! Calls to a server of the platform.

use std::net::SocketAddrV4;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Method, Request, Uri,
    header::{CONTENT_TYPE, HOST, HeaderValue},
};

use crate::{
    clock::Clock,
    error::{Error, Result},
    pool::{Pool, SendError},
};

/// Calls one server and keeps connections to it.
#[derive(Debug)]
pub struct Caller {
    pool: Pool,
    host: HeaderValue,
}

impl Caller {
    /// Makes a caller of the server at `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is no valid header value.
    pub fn new(address: SocketAddrV4) -> Result<Caller> {
        let host = HeaderValue::from_str(&address.to_string()).map_err(Error::malformed)?;
        Ok(Caller { pool: Pool::new(address, Clock::start()), host })
    }

    /// Makes a call and returns status and body of the answer.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no whole answer.
    pub async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<(u16, Bytes)> {
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method;
        *request.uri_mut() = path.parse::<Uri>().map_err(Error::malformed)?;
        request.headers_mut().insert(HOST, self.host.clone());
        request
            .headers_mut()
            .insert(CONTENT_TYPE, HeaderValue::from_static("application/octet-stream"));
        let (response, connection) = self.pool.send(request).await.map_err(|err| {
            Error::unreachable(match err {
                SendError::Unreachable => "no connection",
                SendError::Broken { .. } => "connection broken",
            })
        })?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.map_err(Error::unreachable)?.to_bytes();
        self.pool.give_back(connection);
        Ok((status, body))
    }
}
