//! A caller: asks the fleet which router to use, sends requests, checks the
//! answers and retries what is safe to retry.

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

/// Longest wait for a connection to a router.
const CONNECT_LIMIT: Duration = Duration::from_millis(250);
/// Longest wait for the next piece of an answer.
const PIECE_LIMIT: Duration = Duration::from_secs(10);
/// Longest wait for a locate answer.
const LOCATE_LIMIT: Duration = Duration::from_millis(500);

/// What a router answered to `/locate`.
#[derive(Debug, Clone, Deserialize)]
pub struct Located {
    /// Routers to use, best first.
    pub routers: Vec<SocketAddr>,
    /// How long the answer holds, in milliseconds.
    pub keep_ms: u64,
    /// Prefix for idempotency keys.
    pub key_prefix: Option<String>,
}

/// One request as a caller makes it.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Workspace.
    pub workspace: String,
    /// Chat.
    pub chat: String,
    /// Request class.
    pub class: String,
    /// The caller's identity for the request.
    pub id: String,
    /// Idempotency key, for requests that must not run twice.
    pub key: Option<String>,
    /// Place hint of the chat's last answer.
    pub hint: Option<String>,
    /// Whether the answer is a stream of tokens.
    pub streamed: bool,
    /// Body.
    pub body: Bytes,
}

/// A whole answer that passed its checks.
#[derive(Debug, Clone, Default)]
pub struct Whole {
    /// Result code.
    pub code: u16,
    /// Place hint for the chat's next request.
    pub hint: Option<String>,
    /// Identity under which the engine ran the request.
    pub run_id: String,
    /// Tokens of the answer.
    pub tokens: u32,
    /// Prompt tokens served from the engine's cache.
    pub cached: u32,
    /// Time to the first piece.
    pub first: Duration,
    /// Times between pieces.
    pub gaps: Vec<Duration>,
}

/// What came of one attempt.
#[derive(Debug, Clone)]
pub enum Attempt {
    /// A whole answer.
    Whole(Whole),
    /// A numbered error.
    Refused(Refused),
    /// The answer was not the request's own, not whole, or not well-formed.
    Wrong(String),
    /// No connection was made.
    NotConnected,
    /// The connection broke without an answer.
    Broken,
}

/// A numbered error.
#[derive(Debug, Clone, Deserialize)]
pub struct Refused {
    /// Result code.
    pub code: u16,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// When to come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// Prefix for the next key.
    pub key_prefix: Option<String>,
}

/// A caller with its kept locate answers.
#[derive(Debug, Clone)]
pub struct Caller {
    entries: Vec<SocketAddr>,
    pool: Rc<Pool>,
    kept: Rc<RefCell<HashMap<String, (Instant, Located)>>>,
}

impl Caller {
    /// Creates a caller that knows the addresses of some routers.
    pub fn new(entries: Vec<SocketAddr>) -> Caller {
        Caller { entries, pool: Rc::new(Pool::new(CONNECT_LIMIT)), kept: Rc::default() }
    }

    /// Returns the routers to use for a chat, asking the fleet if no answer is
    /// kept.
    pub async fn locate(&self, workspace: &str, chat: &str, data_centre: &str) -> Option<Located> {
        let key = format!("{workspace}/{chat}");
        if let Some((until, located)) = self.kept.borrow().get(&key)
            && Instant::now() < *until
        {
            return Some(located.clone());
        }
        let path = format!("/locate?workspace={workspace}&chat={chat}&data_centre={data_centre}");
        let located = self.ask_entries(&path, key.len()).await?;
        let until = Instant::now() + Duration::from_millis(located.keep_ms);
        self.kept.borrow_mut().insert(key, (until, located.clone()));
        Some(located)
    }

    /// Asks the known routers in turn; the answer of one that is about to stop
    /// has no key prefix and is the last resort.
    async fn ask_entries(&self, path: &str, start: usize) -> Option<Located> {
        let mut without_prefix = None;
        for n in 0..self.entries.len() {
            let entry = self.entries[(start + n) % self.entries.len()];
            let call = Call::get(entry, path).timeout(LOCATE_LIMIT);
            let Ok(body) = call.send_ok().await else { continue };
            match serde_json::from_slice::<Located>(&body) {
                Ok(located) if located.key_prefix.is_some() => return Some(located),
                Ok(located) => without_prefix = Some(located),
                Err(_) => {}
            }
        }
        without_prefix
    }

    /// Forgets the kept answer for a chat.
    pub fn forget(&self, workspace: &str, chat: &str) {
        self.kept.borrow_mut().remove(&format!("{workspace}/{chat}"));
    }

    /// Sends a request to one router and checks the answer.
    pub async fn attempt(&self, router: SocketAddr, request: &CallerRequest) -> Attempt {
        let sent = Instant::now();
        let Ok(mut connection) = self.pool.acquire(router).await else {
            return Attempt::NotConnected;
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
            return Attempt::Wrong("request cannot be built".to_owned());
        };
        let response = match connection.send(message, PIECE_LIMIT).await {
            Ok(response) => response,
            Err(PoolError::NotConnected | PoolError::Refused) => return Attempt::NotConnected,
            Err(PoolError::Broken) => return Attempt::Broken,
        };
        let attempt = read_answer(response, request, sent).await;
        if matches!(attempt, Attempt::Whole(_) | Attempt::Refused(_)) {
            connection.recycle();
        }
        attempt
    }
}

async fn read_answer(
    response: Response<Incoming>,
    request: &CallerRequest,
    sent: Instant,
) -> Attempt {
    let header = |name: &str| Some(response.headers().get(name)?.to_str().ok()?.to_owned());
    let code = header("x-code").and_then(|it| it.parse().ok()).unwrap_or(0);
    let whole = Whole {
        code,
        hint: header("x-place-hint"),
        run_id: header("x-run-id").unwrap_or_default(),
        ..Whole::default()
    };
    if header("x-request-id").is_some_and(|id| id != request.id) {
        return Attempt::Wrong("identity of another request".to_owned());
    }
    if code >= 2000 || code == 1002 {
        return match response.into_body().collect().await {
            Ok(body) => parse_refusal(&body.to_bytes()),
            Err(_) => Attempt::Broken,
        };
    }
    if request.streamed {
        read_stream(response.into_body(), whole, sent).await
    } else {
        read_whole(response.into_body(), whole, request, sent).await
    }
}

fn parse_refusal(body: &[u8]) -> Attempt {
    match serde_json::from_slice(body) {
        Ok(refused) => Attempt::Refused(refused),
        Err(err) => Attempt::Wrong(format!("malformed refusal: {err}")),
    }
}

#[derive(Deserialize)]
struct Confirmation {
    confirmed: String,
}

async fn read_whole(
    body: Incoming,
    mut whole: Whole,
    request: &CallerRequest,
    sent: Instant,
) -> Attempt {
    let Ok(body) = body.collect().await else { return Attempt::Broken };
    whole.first = sent.elapsed();
    let Some(key) = &request.key else { return Attempt::Whole(whole) };
    match serde_json::from_slice::<Confirmation>(&body.to_bytes()) {
        Ok(it) if it.confirmed == *key => Attempt::Whole(whole),
        _ => Attempt::Wrong("confirmation of another key".to_owned()),
    }
}

async fn read_stream(mut body: Incoming, mut whole: Whole, sent: Instant) -> Attempt {
    let mut buffer = BytesMut::new();
    let mut last = sent;
    loop {
        let data = match time::timeout(PIECE_LIMIT, body.frame()).await {
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            _ => return Attempt::Broken,
        };
        buffer.extend_from_slice(&data);
        while let Some(end) = buffer.iter().position(|&byte| byte == b'\n') {
            let line = buffer.split_to(end + 1);
            let now = Instant::now();
            if whole.tokens == 0 {
                whole.first = now - sent;
            } else {
                whole.gaps.push(now - last);
            }
            last = now;
            match check_line(&line, &mut whole) {
                Checked::Token => {}
                // The proper end of the body follows the last line.
                Checked::End => {
                    return match time::timeout(PIECE_LIMIT, body.frame()).await {
                        Ok(None) => Attempt::Whole(whole),
                        _ => Attempt::Broken,
                    };
                }
                Checked::Failed(attempt) => return attempt,
            }
        }
    }
}

enum Checked {
    Token,
    End,
    Failed(Attempt),
}

fn check_line(line: &[u8], whole: &mut Whole) -> Checked {
    if line.starts_with(b"{\"code\"") {
        return Checked::Failed(parse_refusal(line));
    }
    let Ok(frame) = serde_json::from_slice::<Frame>(line) else {
        return Checked::Failed(Attempt::Wrong("malformed piece".to_owned()));
    };
    if frame.id != whole.run_id || frame.n != whole.tokens {
        return Checked::Failed(Attempt::Wrong("piece of another answer".to_owned()));
    }
    let Some(sum) = frame.sum else {
        whole.tokens += 1;
        return Checked::Token;
    };
    if sum != checksum(&whole.run_id, whole.tokens) {
        return Checked::Failed(Attempt::Wrong("checksum differs".to_owned()));
    }
    whole.cached = frame.cached.unwrap_or(0);
    Checked::End
}
