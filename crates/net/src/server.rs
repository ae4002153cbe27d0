//! A small HTTP server on one thread.

use std::{
    convert::Infallible,
    fmt,
    future::Future,
    io,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Request, Response,
    body::{Body, Frame, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use tokio::{
    net::TcpListener,
    sync::mpsc,
    task::JoinSet,
    time::{self, Duration},
};

/// Largest request head that is accepted, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Longest time that a client may take to send a request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a failure to accept, such as running out of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A response body that may be streamed.
pub type ReplyBody = Pin<Box<dyn Body<Data = Bytes, Error = Aborted>>>;

/// The stream was given up; the connection closes without a proper end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Aborted;

impl fmt::Display for Aborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("answer aborted")
    }
}

impl std::error::Error for Aborted {}

/// Makes a body of known length.
pub fn full_body(bytes: impl Into<Bytes>) -> ReplyBody {
    Box::pin(Full::new(bytes.into()).map_err(|never: Infallible| match never {}))
}

/// Makes a response with a whole body.
pub fn reply(status: u16, body: impl Into<Bytes>) -> Response<ReplyBody> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    response
}

/// Makes a response with a JSON document.
pub fn json_reply(value: &(impl Serialize + ?Sized)) -> Response<ReplyBody> {
    match serde_json::to_vec(value) {
        Ok(body) => reply(200, body),
        Err(err) => reply(500, err.to_string()),
    }
}

/// Makes a streamed body and the sender that feeds it.
///
/// At most `depth` pieces wait for the client; the sender learns that the
/// client has gone when its sends fail.
pub fn channel_body(depth: usize) -> (mpsc::Sender<Result<Bytes, Aborted>>, ReplyBody) {
    let (sender, pieces) = mpsc::channel(depth);
    (sender, Box::pin(ChannelBody { pieces }))
}

struct ChannelBody {
    pieces: mpsc::Receiver<Result<Bytes, Aborted>>,
}

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        self.pieces.poll_recv(cx).map(|piece| piece.map(|it| it.map(Frame::data)))
    }
}

/// Answers requests on `listener` until the returned future is dropped, which
/// also closes every open connection.
pub async fn serve<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<ReplyBody>> + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
        };
        match accepted {
            Ok((stream, _)) => {
                // Small pieces of a stream must not wait for one another.
                let _ = stream.set_nodelay(true);
                connections.spawn_local(serve_connection(stream, handler.clone()));
            }
            Err(_) => time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn serve_connection<H, F>(stream: tokio::net::TcpStream, handler: H)
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<ReplyBody>>,
{
    let service = service_fn(|request| {
        let response = handler(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    // A client that breaks off concerns nobody else.
    let _ = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// Reads a whole request body of at most `limit` bytes.
///
/// # Errors
///
/// Returns `InvalidData` if the body is longer, and `ConnectionAborted` if the
/// client broke off.
pub async fn read_body(body: Incoming, limit: usize) -> io::Result<Bytes> {
    let limited = http_body_util::Limited::new(body, limit);
    match limited.collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(err) if err.is::<http_body_util::LengthLimitError>() => {
            Err(io::Error::new(io::ErrorKind::InvalidData, "body too large"))
        }
        Err(_) => Err(io::Error::new(io::ErrorKind::ConnectionAborted, "client broke off")),
    }
}
