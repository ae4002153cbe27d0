//! A plain service that counts how often each request really ran.

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

use crate::reply::take_json;

const BODY_LIMIT: usize = 1 << 20;

/// How the service treats one run request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Runs and answers.
    #[default]
    None,
    /// Runs, then breaks the connection instead of answering.
    LoseAnswer,
    /// Breaks the connection without running.
    Drop,
    /// Runs, then never answers.
    Hang,
    /// Refuses with the header that says that it did not run.
    Refuse,
    /// Runs and answers with another request's identity.
    Cross,
}

/// Changes to a running service.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// Faults for the next requests, one each.
    pub next: Vec<Fault>,
    /// Time that each run takes, in milliseconds.
    pub work_ms: Option<u64>,
    /// Whether the service gives notice that it leaves.
    pub leaving: Option<bool>,
}

/// Counts of what the service did.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runs {
    /// Runs by idempotency key, or by request identity if there is none.
    pub runs: BTreeMap<String, u32>,
}

#[derive(Debug)]
struct State {
    incarnation: u32,
    work_ms: u64,
    open: u32,
    leaving: bool,
    runs: Runs,
    faults: VecDeque<Fault>,
}

/// Serves on `listener`; `incarnation` tells runs of the process apart.
pub async fn run(listener: TcpListener, incarnation: u32, work_ms: u64) {
    let state = State {
        incarnation,
        work_ms,
        open: 0,
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
        (&Method::POST, "/control") => control(state, request).await,
        _ => reply(404, "unknown path"),
    }
}

impl State {
    fn load_report(&self) -> LoadReport {
        LoadReport {
            incarnation: self.incarnation,
            load: self.open,
            leaving: self.leaving,
            model: 0,
        }
    }
}

async fn control(state: Rc<RefCell<State>>, request: Request<Incoming>) -> Response<ReplyBody> {
    take_json(request, |control: Control| {
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
    if read_body(request.into_body(), BODY_LIMIT).await.is_err() {
        return reply(400, "broken body");
    }
    match fault {
        Fault::Drop => return abort(),
        Fault::Refuse => return refuse(),
        _ => {}
    }
    *state.borrow_mut().runs.runs.entry(key.clone()).or_default() += 1;
    let _open = OpenRun::start(&state);
    let work_ms = state.borrow().work_ms;
    time::sleep(Duration::from_millis(work_ms)).await;
    match fault {
        Fault::LoseAnswer => abort(),
        Fault::Hang => std::future::pending().await,
        Fault::Cross => answer("another-request", &key),
        _ => answer(&id, &key),
    }
}

/// Counts a request as open until it is dropped.
struct OpenRun {
    state: Rc<RefCell<State>>,
}

impl OpenRun {
    fn start(state: &Rc<RefCell<State>>) -> OpenRun {
        state.borrow_mut().open += 1;
        OpenRun { state: Rc::clone(state) }
    }
}

impl Drop for OpenRun {
    fn drop(&mut self) {
        self.state.borrow_mut().open -= 1;
    }
}

fn answer(id: &str, key: &str) -> Response<ReplyBody> {
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

/// A response whose body fails at once, so that the connection breaks.
fn abort() -> Response<ReplyBody> {
    let (sender, body) = channel_body(1);
    // The channel has room for the one piece.
    let _ = sender.try_send(Err(Aborted));
    let mut response = Response::new(body);
    response.headers_mut().insert("content-length", hyper::header::HeaderValue::from_static("1"));
    response
}
