//! A single-threaded HTTP/1.1 server.

use std::{
    collections::VecDeque,
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
    task::{AbortHandle, JoinSet},
    time::{self, Duration},
};

/// Maximum size of a request head (request line and headers), in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Timeout for a client to send a complete request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay after a failed accept, for example when the process is out of file
/// descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A response body that may be streamed.
pub type ReplyBody = Pin<Box<dyn Body<Data = Bytes, Error = Aborted>>>;

/// The error that aborts a streamed body; the connection is closed without a
/// final chunk, so that the client detects the truncation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Aborted;

impl fmt::Display for Aborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("response body aborted")
    }
}

impl std::error::Error for Aborted {}

/// Creates a body of known length.
pub fn full_body(bytes: impl Into<Bytes>) -> ReplyBody {
    Box::pin(Full::new(bytes.into()).map_err(|never: Infallible| match never {}))
}

/// Creates a response with a body of known length.
pub fn reply(status: u16, body: impl Into<Bytes>) -> Response<ReplyBody> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    response
}

/// Creates a response with a JSON document, or with status 500 if `value` cannot
/// be serialized.
pub fn json_reply(value: &(impl Serialize + ?Sized)) -> Response<ReplyBody> {
    match serde_json::to_vec(value) {
        Ok(body) => reply(200, body),
        Err(err) => reply(500, err.to_string()),
    }
}

/// Creates a streamed body and the sender of its chunks.
///
/// At most `capacity` chunks are buffered; sends fail once the client has
/// disconnected.
pub fn channel_body(capacity: usize) -> (mpsc::Sender<Result<Bytes, Aborted>>, ReplyBody) {
    let (sender, chunks) = mpsc::channel(capacity);
    (sender, Box::pin(ChannelBody { chunks }))
}

struct ChannelBody {
    chunks: mpsc::Receiver<Result<Bytes, Aborted>>,
}

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        self.chunks.poll_recv(cx).map(|chunk| chunk.map(|it| it.map(Frame::data)))
    }
}

/// Serves requests on `listener`; never completes.
///
/// Dropping the returned future stops the server and closes every open
/// connection.
pub async fn serve<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<ReplyBody>> + 'static,
{
    serve_up_to(usize::MAX, listener, handler).await;
}

/// Does what [`serve`] does, on at most `max_connections` connections; the oldest one is closed
/// for a new one beyond that.
pub async fn serve_up_to<H, F>(max_connections: usize, listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<ReplyBody>> + 'static,
{
    let mut connections = JoinSet::new();
    let mut handles: VecDeque<AbortHandle> = VecDeque::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
        };
        match accepted {
            Ok((stream, _)) => {
                // Disables Nagle's algorithm, which would delay small chunks of a stream.
                let _ = stream.set_nodelay(true);
                let is_full = connections.len() >= max_connections;
                if is_full || handles.len() > 2 * connections.len() {
                    handles.retain(|it| !it.is_finished());
                }
                if is_full && let Some(oldest) = handles.pop_front() {
                    oldest.abort();
                }
                let serving = serve_connection(stream, handler.clone());
                handles.push_back(connections.spawn_local(serving));
            }
            Err(_) => time::sleep(ACCEPT_RETRY_DELAY).await,
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
    // An error, such as a client that disconnects, affects only this connection.
    let _ = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// Reads a complete request body of at most `limit` bytes.
///
/// # Errors
///
/// Returns an error of kind `InvalidData` if the body is longer, and
/// `ConnectionAborted` if the client disconnected.
pub async fn read_body(body: Incoming, limit: usize) -> io::Result<Bytes> {
    let limited = http_body_util::Limited::new(body, limit);
    match limited.collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(err) if err.is::<http_body_util::LengthLimitError>() => {
            Err(io::Error::new(io::ErrorKind::InvalidData, "body too large"))
        }
        Err(_) => Err(io::Error::new(io::ErrorKind::ConnectionAborted, "client disconnected")),
    }
}
