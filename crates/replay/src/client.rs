//! An HTTP client of the fleet: locates routers, sends requests and validates the
//! responses.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming, header::HOST};
use mimosaledge_core::Outcome;
use mimosaledge_net::{
    http::Call,
    pool::{Pool, PoolError},
};
use mimosaledge_standin::engine::{Frame, checksum};
use serde::Deserialize;
use tokio::time;

/// Timeout for connecting to a router.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout for the response head and for each chunk of a streamed body.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for a `/locate` call.
const LOCATE_TIMEOUT: Duration = Duration::from_millis(500);

/// Response to `/locate`.
#[derive(Debug, Clone, Deserialize)]
pub struct LocateResponse {
    /// Addresses of the routers to use, in order of preference.
    pub routers: Vec<SocketAddr>,
    /// How long the response may be cached, in milliseconds.
    pub keep_ms: u64,
    /// Prefix for new idempotency keys; absent if the router is about to shut down.
    pub key_prefix: Option<String>,
}

/// A request to the fleet.
#[derive(Debug, Clone)]
pub struct ClientRequest {
    /// Workspace that the request is sent for.
    pub workspace: String,
    /// Chat that the request belongs to.
    pub chat: String,
    /// Request class.
    pub class: String,
    /// Request ID, sent as `x-request-id`.
    pub id: String,
    /// Idempotency key, for requests that must run at most once.
    pub key: Option<String>,
    /// Placement hint from the chat's last response.
    pub hint: Option<String>,
    /// Whether the response is a stream of tokens.
    pub streamed: bool,
    /// Request body.
    pub body: Bytes,
}

/// A complete response that passed validation.
#[derive(Debug, Clone, Default)]
pub struct CompleteResponse {
    /// Result code.
    pub code: u16,
    /// Placement hint for the chat's next request.
    pub hint: Option<String>,
    /// ID under which the engine ran the request.
    pub run_id: String,
    /// Number of tokens received.
    pub tokens: u32,
    /// Prompt tokens served from the engine's cache.
    pub cached_tokens: u32,
    /// Time to the first token or, if the response is not streamed, to its end.
    pub first_token: Duration,
    /// Times between consecutive lines of the stream: one line per token, then
    /// a final line with the checksum.
    pub token_gaps: Vec<Duration>,
}

/// Result of one attempt.
#[derive(Debug, Clone)]
pub enum AttemptResult {
    /// A complete, valid response.
    Complete(CompleteResponse),
    /// An error response with a result code.
    Error(ErrorResponse),
    /// The response was malformed, failed its checksum or belonged to another
    /// request.
    Invalid(String),
    /// The connection could not be established.
    NotConnected,
    /// The connection failed or timed out before the response was complete.
    Disconnected,
}

/// An error response with a result code.
#[derive(Debug, Clone, Deserialize)]
pub struct ErrorResponse {
    /// Result code.
    pub code: u16,
    /// Whether the request took effect at an endpoint.
    pub outcome: Outcome,
    /// Delay before the next attempt, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// Prefix for the next idempotency key.
    pub key_prefix: Option<String>,
}

/// A client of the fleet with a cache of `/locate` responses.
#[derive(Debug, Clone)]
pub struct Client {
    routers: Vec<SocketAddr>,
    pool: Rc<Pool>,
    cache: Rc<RefCell<HashMap<String, (Instant, LocateResponse)>>>,
}

impl Client {
    /// Creates a client that sends `/locate` calls to `routers`.
    pub fn new(routers: Vec<SocketAddr>) -> Client {
        Client { routers, pool: Rc::new(Pool::new(CONNECT_TIMEOUT)), cache: Rc::default() }
    }

    /// Returns the routers to use for a chat, from the cache while the last
    /// response is valid.
    pub async fn locate(
        &self,
        workspace: &str,
        chat: &str,
        data_centre: &str,
    ) -> Option<LocateResponse> {
        let key = format!("{workspace}/{chat}");
        if let Some((expires, located)) = self.cache.borrow().get(&key)
            && Instant::now() < *expires
        {
            return Some(located.clone());
        }
        let path = format!("/locate?workspace={workspace}&chat={chat}&data_centre={data_centre}");
        let located = self.query_routers(&path, key.len()).await?;
        let expires = Instant::now() + Duration::from_millis(located.keep_ms);
        self.cache.borrow_mut().insert(key, (expires, located.clone()));
        Some(located)
    }

    /// Sends a `/locate` call to the configured routers in turn, beginning with
    /// index `start` modulo their number.
    ///
    /// A response without a key prefix comes from a router that is about to shut
    /// down, so it is used only if no router returns one with a prefix.
    async fn query_routers(&self, path: &str, start: usize) -> Option<LocateResponse> {
        let mut fallback = None;
        for offset in 0..self.routers.len() {
            let router = self.routers[(start + offset) % self.routers.len()];
            let call = Call::get(router, path).timeout(LOCATE_TIMEOUT);
            let Ok(body) = call.send_ok().await else { continue };
            match serde_json::from_slice::<LocateResponse>(&body) {
                Ok(located) if located.key_prefix.is_some() => return Some(located),
                Ok(located) => fallback = Some(located),
                Err(_) => {}
            }
        }
        fallback
    }

    /// Removes the cached `/locate` response for a chat.
    pub fn invalidate(&self, workspace: &str, chat: &str) {
        self.cache.borrow_mut().remove(&format!("{workspace}/{chat}"));
    }

    /// Sends a request to one router and validates the response.
    pub async fn attempt(&self, router: SocketAddr, request: &ClientRequest) -> AttemptResult {
        let sent = Instant::now();
        let Ok(mut connection) = self.pool.acquire(router).await else {
            return AttemptResult::NotConnected;
        };
        let mut builder = Request::post("/v1/run")
            .header(HOST, router.to_string())
            .header("x-workspace", &request.workspace)
            .header("x-chat", &request.chat)
            .header("x-class", &request.class)
            .header("x-request-id", &request.id);
        if let Some(key) = &request.key {
            builder = builder.header("idempotency-key", key);
        }
        if let Some(hint) = &request.hint {
            builder = builder.header("x-place-hint", hint);
        }
        let Ok(message) = builder.body(Full::new(request.body.clone())) else {
            return AttemptResult::Invalid("request has an invalid header value".to_owned());
        };
        let response = match connection.send(message, READ_TIMEOUT).await {
            Ok(response) => response,
            Err(PoolError::NotConnected | PoolError::Refused) => {
                return AttemptResult::NotConnected;
            }
            Err(PoolError::Broken) => return AttemptResult::Disconnected,
        };
        let result = read_response(response, request, sent).await;
        if matches!(result, AttemptResult::Complete(_) | AttemptResult::Error(_)) {
            connection.recycle();
        }
        result
    }
}

async fn read_response(
    response: Response<Incoming>,
    request: &ClientRequest,
    sent: Instant,
) -> AttemptResult {
    let header = |name: &str| Some(response.headers().get(name)?.to_str().ok()?.to_owned());
    let code = header("x-code").and_then(|it| it.parse().ok()).unwrap_or(0);
    let received = CompleteResponse {
        code,
        hint: header("x-place-hint"),
        run_id: header("x-run-id").unwrap_or_default(),
        ..CompleteResponse::default()
    };
    if header("x-request-id").is_some_and(|id| id != request.id) {
        return AttemptResult::Invalid("response has the ID of another request".to_owned());
    }
    // Code 1002 reports that the request ran earlier but its response is no longer
    // stored, so the body is an error document.
    if code >= 2000 || code == 1002 {
        return match response.into_body().collect().await {
            Ok(body) => parse_error(&body.to_bytes()),
            Err(_) => AttemptResult::Disconnected,
        };
    }
    if request.streamed {
        read_stream(response.into_body(), received, sent).await
    } else {
        read_body(response.into_body(), received, request, sent).await
    }
}

fn parse_error(body: &[u8]) -> AttemptResult {
    match serde_json::from_slice(body) {
        Ok(error) => AttemptResult::Error(error),
        Err(err) => AttemptResult::Invalid(format!("malformed error response: {err}")),
    }
}

#[derive(Deserialize)]
struct Confirmation {
    confirmed: String,
}

async fn read_body(
    body: Incoming,
    mut received: CompleteResponse,
    request: &ClientRequest,
    sent: Instant,
) -> AttemptResult {
    let Ok(body) = body.collect().await else { return AttemptResult::Disconnected };
    received.first_token = sent.elapsed();
    let Some(key) = &request.key else { return AttemptResult::Complete(received) };
    match serde_json::from_slice::<Confirmation>(&body.to_bytes()) {
        Ok(it) if it.confirmed == *key => AttemptResult::Complete(received),
        _ => AttemptResult::Invalid("response does not confirm the idempotency key".to_owned()),
    }
}

async fn read_stream(
    mut body: Incoming,
    mut received: CompleteResponse,
    sent: Instant,
) -> AttemptResult {
    let mut buffer = BytesMut::new();
    let mut previous = sent;
    loop {
        let data = match time::timeout(READ_TIMEOUT, body.frame()).await {
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            _ => return AttemptResult::Disconnected,
        };
        buffer.extend_from_slice(&data);
        while let Some(end) = buffer.iter().position(|&byte| byte == b'\n') {
            let line = buffer.split_to(end + 1);
            let now = Instant::now();
            if received.tokens == 0 {
                received.first_token = now - sent;
            } else {
                received.token_gaps.push(now - previous);
            }
            previous = now;
            match parse_line(&line, &mut received) {
                LineResult::Token => {}
                // The checksum line must be followed by the end of the body.
                LineResult::Checksum => {
                    return match time::timeout(READ_TIMEOUT, body.frame()).await {
                        Ok(None) => AttemptResult::Complete(received),
                        _ => AttemptResult::Disconnected,
                    };
                }
                LineResult::Failed(result) => return result,
            }
        }
    }
}

/// Result of validating one line of a stream.
enum LineResult {
    Token,
    /// The last line, with a checksum that matches the tokens received.
    Checksum,
    Failed(AttemptResult),
}

fn parse_line(line: &[u8], received: &mut CompleteResponse) -> LineResult {
    // An error that occurs after the stream has started is sent as its own line.
    if line.starts_with(b"{\"code\"") {
        return LineResult::Failed(parse_error(line));
    }
    let Ok(frame) = serde_json::from_slice::<Frame>(line) else {
        return LineResult::Failed(AttemptResult::Invalid("malformed line in stream".to_owned()));
    };
    if frame.id != received.run_id || frame.n != received.tokens {
        return LineResult::Failed(AttemptResult::Invalid(
            "line belongs to another response or is out of order".to_owned(),
        ));
    }
    let Some(sum) = frame.sum else {
        received.tokens += 1;
        return LineResult::Token;
    };
    if sum != checksum(&received.run_id, received.tokens) {
        return LineResult::Failed(AttemptResult::Invalid("checksum mismatch".to_owned()));
    }
    received.cached_tokens = frame.cached.unwrap_or(0);
    LineResult::Checksum
}
