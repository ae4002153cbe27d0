//! Stand-in for a service, which counts the executions of each request.

use std::{
    cell::RefCell,
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::Duration,
};

use hyper::{Method, Request, Response, body::Incoming};
use mimosaledge_core::endpoints::LoadReport;
use mimosaledge_net::server::{
    Aborted, ReplyBody, channel_body, json_reply, read_body, reply, serve,
};
use serde::{Deserialize, Serialize};
use tokio::{net::TcpListener, time};

use crate::http_util::apply_json;

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Fault injected into one request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Executes the request and responds normally.
    #[default]
    None,
    /// Executes the request, then closes the connection without a response.
    LoseAnswer,
    /// Closes the connection without executing the request.
    Drop,
    /// Executes the request and never responds.
    Hang,
    /// Refuses the request with status 503 and the header `x-not-run`, without
    /// executing it.
    Refuse,
    /// Executes the request and responds with the ID of another request.
    Cross,
}

/// Changes to a running service, sent to `POST /control`.
///
/// Absent fields leave the current values unchanged.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// Faults to inject into the next requests, in order, one per request.
    pub next: Vec<Fault>,
    /// Execution time of a request, in milliseconds.
    pub work_ms: Option<u64>,
    /// Whether load reports announce that the service is leaving.
    pub leaving: Option<bool>,
}

/// Execution counts of the service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runs {
    /// Executions by idempotency key, or by request ID if there is no key.
    pub runs: BTreeMap<String, u32>,
}

#[derive(Debug)]
struct State {
    incarnation: u32,
    work_ms: u64,
    open_requests: u32,
    leaving: bool,
    runs: Runs,
    faults: VecDeque<Fault>,
}

/// Runs the service on `listener`.
///
/// `incarnation` distinguishes successive runs of the process.
pub async fn run(listener: TcpListener, incarnation: u32, work_ms: u64) {
    let state = State {
        incarnation,
        work_ms,
        open_requests: 0,
        leaving: false,
        runs: Runs::default(),
        faults: VecDeque::new(),
    };
    let state = Rc::new(RefCell::new(state));
    serve(listener, move |request| handle(Rc::clone(&state), request)).await;
}

async fn handle(state: Rc<RefCell<State>>, request: Request<Incoming>) -> Response<ReplyBody> {
    match (request.method(), request.uri().path()) {
        (&Method::POST, "/run") => execute(state, request).await,
        (&Method::GET, "/load") => json_reply(&state.borrow().load_report()),
        (&Method::GET, "/runs") => json_reply(&state.borrow().runs),
        (&Method::POST, "/control") => handle_control(state, request).await,
        _ => reply(404, "unknown path"),
    }
}

impl State {
    fn load_report(&self) -> LoadReport {
        LoadReport {
            incarnation: self.incarnation,
            load: self.open_requests,
            leaving: self.leaving,
            model: 0,
        }
    }
}

async fn handle_control(
    state: Rc<RefCell<State>>,
    request: Request<Incoming>,
) -> Response<ReplyBody> {
    apply_json(request, |control: Control| {
        let mut state = state.borrow_mut();
        state.faults.extend(control.next);
        state.work_ms = control.work_ms.unwrap_or(state.work_ms);
        state.leaving = control.leaving.unwrap_or(state.leaving);
    })
    .await
}

async fn execute(state: Rc<RefCell<State>>, request: Request<Incoming>) -> Response<ReplyBody> {
    let header = |name: &str| {
        let value = request.headers().get(name)?.to_str().ok()?;
        Some(value.to_owned())
    };
    let id = header("x-request-id").unwrap_or_default();
    let key = header("idempotency-key").unwrap_or_else(|| id.clone());
    let fault = state.borrow_mut().faults.pop_front().unwrap_or_default();
    if read_body(request.into_body(), MAX_BODY_BYTES).await.is_err() {
        return reply(400, "cannot read request body");
    }
    match fault {
        Fault::Drop => return abort_connection(),
        Fault::Refuse => return refuse(),
        _ => {}
    }
    *state.borrow_mut().runs.runs.entry(key.clone()).or_default() += 1;
    let _guard = OpenRequestGuard::new(&state);
    let work_ms = state.borrow().work_ms;
    time::sleep(Duration::from_millis(work_ms)).await;
    match fault {
        Fault::LoseAnswer => abort_connection(),
        Fault::Hang => std::future::pending().await,
        Fault::Cross => success("another-request", &key),
        _ => success(&id, &key),
    }
}

/// Counts a request as open while the guard is alive.
struct OpenRequestGuard {
    state: Rc<RefCell<State>>,
}

impl OpenRequestGuard {
    fn new(state: &Rc<RefCell<State>>) -> OpenRequestGuard {
        state.borrow_mut().open_requests += 1;
        OpenRequestGuard { state: Rc::clone(state) }
    }
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.state.borrow_mut().open_requests -= 1;
    }
}

fn success(id: &str, key: &str) -> Response<ReplyBody> {
    let mut response = reply(200, format!("{{\"id\":\"{id}\",\"confirmed\":\"{key}\"}}"));
    if let Ok(value) = id.parse() {
        response.headers_mut().insert("x-request-id", value);
    }
    response
}

fn refuse() -> Response<ReplyBody> {
    let mut response = reply(503, "refused");
    response.headers_mut().insert("x-not-run", hyper::header::HeaderValue::from_static("1"));
    response
}

/// Returns a response whose body fails immediately, which closes the connection.
fn abort_connection() -> Response<ReplyBody> {
    let (sender, body) = channel_body(1);
    // The channel has capacity for this one item.
    let _ = sender.try_send(Err(Aborted));
    let mut response = Response::new(body);
    response.headers_mut().insert("content-length", hyper::header::HeaderValue::from_static("1"));
    response
}
