//! A model engine: continuous batching, a prefix cache, streamed answers.

mod batch;
mod cache;
mod events;
mod request;

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use hyper::{Method, Request, Response, body::Incoming};
use mimosaledge_core::{
    endpoints::LoadReport,
    hash::hash32,
    orders::{EngineState, Order},
};
use mimosaledge_net::{
    http::Call,
    server::{ReplyBody, channel_body, json_reply, read_body, reply, serve},
};
use serde::{Deserialize, Serialize};
use tokio::{
    net::TcpListener,
    sync::Notify,
    task,
    time::{self, Instant},
};

pub use self::{
    batch::Statistics,
    cache::chain,
    request::{Frame, Generate, checksum, output_segment, token},
};
use self::{
    batch::{Batch, Sequence},
    cache::PrefixCache,
    events::CacheEvents,
};
use crate::reply::{query, take_json};

const BODY_LIMIT: usize = 4 << 20;
/// Pieces of an answer that wait for a slow reader.
const STREAM_DEPTH: usize = 256;

/// How the engine treats one request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Answers.
    #[default]
    None,
    /// Never answers.
    Mute,
    /// Goes silent in the middle of the answer.
    Silent,
    /// Breaks the connection in the middle of the answer.
    Truncate,
    /// Gives pieces of the answer another request's identity.
    Cross,
    /// Sends a piece of the answer twice.
    Duplicate,
    /// Refuses before running.
    Refuse,
}

/// Settings of an engine.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name, as in the VM list.
    pub name: String,
    /// Changes whenever the process restarts.
    pub incarnation: u32,
    /// Model served from the start; empty for none.
    pub model: String,
    /// Time of one step of the batch, in milliseconds.
    pub step_ms: u64,
    /// Sequences that run at once.
    pub slots: usize,
    /// Prompt tokens that one sequence processes in one step.
    pub prefill_tokens: u32,
    /// Tokens that the prefix cache holds.
    pub cache_tokens: u64,
    /// Lag of load reports, in milliseconds.
    pub report_lag_ms: u64,
    /// Whether orders with an old fencing number are refused.
    pub fenced: bool,
    /// Address of the weight store, if orders fetch weights.
    pub weights: Option<SocketAddr>,
}

/// Changes to a running engine.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// Faults for the next requests, one each.
    pub next: Vec<Fault>,
    /// A request whose body contains this text ends the process.
    pub crash_on: Option<String>,
    /// Whether the engine gives notice that it leaves.
    pub leaving: Option<bool>,
    /// Time of one step of the batch, in milliseconds.
    pub step_ms: Option<u64>,
    /// Whether the answers to the next orders are lost.
    pub lose_orders: Option<u32>,
}

struct State {
    settings: Settings,
    batch: Batch,
    events: CacheEvents,
    reported: Vec<(Instant, u32)>,
    faults: Vec<Fault>,
    crash_on: Option<String>,
    leaving: bool,
    lose_orders: u32,
    orders: EngineState,
    wake: Rc<Notify>,
    crash: Rc<Notify>,
}

type Shared = Rc<RefCell<State>>;

/// Serves on `listener` until a request crashes the engine.
pub async fn run(listener: TcpListener, settings: Settings) {
    let wake = Rc::new(Notify::new());
    let crash = Rc::new(Notify::new());
    let cache = PrefixCache::new(settings.cache_tokens);
    let state = State {
        batch: Batch::new(settings.slots, settings.prefill_tokens, cache),
        events: CacheEvents::default(),
        reported: Vec::new(),
        faults: Vec::new(),
        crash_on: None,
        leaving: false,
        lose_orders: 0,
        orders: EngineState {
            model: settings.model.as_str().into(),
            version: 1,
            loading: false,
            fence: 0,
        },
        settings,
        wake: Rc::clone(&wake),
        crash: Rc::clone(&crash),
    };
    let state = Rc::new(RefCell::new(state));
    let stepper = step_batch(Rc::clone(&state), wake);
    tokio::select! {
        () = serve(listener, move |request| handle(Rc::clone(&state), request)) => {}
        () = stepper => {}
        () = crash.notified() => {}
    }
}

/// Steps the batch at a fixed pace while anything runs.
async fn step_batch(state: Shared, wake: Rc<Notify>) {
    loop {
        if state.borrow().batch.is_idle() {
            wake.notified().await;
        }
        let step = Duration::from_millis(state.borrow().settings.step_ms);
        time::sleep(step).await;
        let mut guard = state.borrow_mut();
        let State { batch, events, .. } = &mut *guard;
        batch.step(events);
    }
}

async fn handle(state: Shared, request: Request<Incoming>) -> Response<ReplyBody> {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, "/generate") => generate(state, request).await,
        (&Method::DELETE, path) if path.starts_with("/generate/") => {
            let id = path.trim_start_matches("/generate/");
            state.borrow_mut().batch.cancel(id);
            reply(200, "")
        }
        (&Method::GET, "/load") => json_reply(&state.borrow_mut().load_report(Instant::now())),
        (&Method::GET, "/events") => {
            let after = query(request.uri().query(), "after").and_then(|it| it.parse().ok());
            json_reply(&state.borrow().events.shown(after.unwrap_or(0), Instant::now()))
        }
        (&Method::GET, "/state") => json_reply(&state.borrow().orders),
        (&Method::GET, "/statistics") => json_reply(&state.borrow().batch.statistics()),
        (&Method::POST, "/orders") => take_order(state, request).await,
        (&Method::POST, "/control") => control(state, request).await,
        _ => reply(404, "unknown path"),
    }
}

impl State {
    /// Reports the load as it was one lag ago, and leaving without lag.
    fn load_report(&mut self, now: Instant) -> LoadReport {
        let lag = Duration::from_millis(self.settings.report_lag_ms);
        self.reported.push((now, self.batch.load()));
        let due = self.reported.iter().rposition(|(at, _)| now.duration_since(*at) >= lag);
        if let Some(due) = due {
            self.reported.drain(..due);
        }
        let model = if self.orders.loading { 0 } else { hash32(self.orders.model.as_bytes()) };
        LoadReport {
            incarnation: self.settings.incarnation,
            load: self.reported[0].1,
            leaving: self.leaving,
            model,
        }
    }
}

async fn generate(state: Shared, request: Request<Incoming>) -> Response<ReplyBody> {
    let header = |name: &str| {
        let value = request.headers().get(name)?.to_str().ok()?;
        Some(value.to_owned())
    };
    let id = header("x-request-id").unwrap_or_default();
    let resume_from = header("x-resume-from").and_then(|it| it.parse().ok()).unwrap_or(0);
    let priority = header("x-priority").and_then(|it| it.parse().ok()).unwrap_or(0);
    let Ok(body) = read_body(request.into_body(), BODY_LIMIT).await else {
        return reply(400, "broken body");
    };
    let generate: Generate = match serde_json::from_slice(&body) {
        Ok(generate) => generate,
        Err(err) => return reply(400, err.to_string()),
    };
    let fault = match accept(&state, &body, &generate) {
        Ok(Fault::Mute) => return std::future::pending().await,
        Ok(fault) => fault,
        Err(Refusal::Crashing) => return reply(500, "crashing"),
        Err(Refusal::NotRun(reason)) => return not_run(reason),
    };
    let (sender, body) = channel_body(STREAM_DEPTH);
    let sequence = Sequence::new(id.clone(), generate, priority, resume_from, fault, sender);
    state.borrow_mut().batch.submit(sequence);
    state.borrow().wake.notify_one();
    let mut response = Response::new(body);
    if let Ok(value) = id.parse() {
        response.headers_mut().insert("x-request-id", value);
    }
    response
}

/// Why a request is not run.
enum Refusal {
    Crashing,
    NotRun(&'static str),
}

/// Decides whether to run a request, and with which fault.
fn accept(state: &Shared, body: &[u8], generate: &Generate) -> Result<Fault, Refusal> {
    let mut state = state.borrow_mut();
    if state.crash_on.as_ref().is_some_and(|marker| contains(body, marker.as_bytes())) {
        state.crash.notify_one();
        return Err(Refusal::Crashing);
    }
    if state.orders.loading || *state.orders.model != generate.model {
        return Err(Refusal::NotRun("model is not loaded"));
    }
    let fault = if state.faults.is_empty() { Fault::None } else { state.faults.remove(0) };
    if fault == Fault::Refuse { Err(Refusal::NotRun("refused")) } else { Ok(fault) }
}

fn not_run(reason: &'static str) -> Response<ReplyBody> {
    let mut response = reply(503, reason);
    response.headers_mut().insert("x-not-run", hyper::header::HeaderValue::from_static("1"));
    response
}

fn contains(text: &[u8], part: &[u8]) -> bool {
    text.windows(part.len().max(1)).any(|window| window == part)
}

async fn take_order(state: Shared, request: Request<Incoming>) -> Response<ReplyBody> {
    let Ok(body) = read_body(request.into_body(), BODY_LIMIT).await else {
        return reply(400, "broken body");
    };
    let Ok(order) = serde_json::from_slice::<Order>(&body) else {
        return reply(400, "malformed order");
    };
    match apply_order(&state, order) {
        OrderAnswer::Stale => reply(409, "fencing number is old"),
        OrderAnswer::Taken => reply(200, ""),
        OrderAnswer::Lost => std::future::pending().await,
    }
}

enum OrderAnswer {
    Taken,
    Stale,
    /// The order took effect, but its answer is lost.
    Lost,
}

fn apply_order(state: &Shared, order: Order) -> OrderAnswer {
    let mut guard = state.borrow_mut();
    if guard.settings.fenced && order.fence < guard.orders.fence {
        return OrderAnswer::Stale;
    }
    guard.orders.fence = order.fence;
    if guard.orders.model != order.model || guard.orders.version != order.version {
        guard.orders.model = order.model;
        guard.orders.version = order.version;
        guard.orders.loading = true;
        task::spawn_local(load_model(Rc::clone(state), order.weight_mib));
    }
    if guard.lose_orders == 0 {
        return OrderAnswer::Taken;
    }
    guard.lose_orders -= 1;
    OrderAnswer::Lost
}

async fn load_model(state: Shared, weight_mib: u64) {
    let weights = state.borrow().settings.weights;
    if let Some(addr) = weights {
        let call = Call::post(addr, format!("/weights?mib={weight_mib}"), "");
        // The store's answer only sets the pace of the load.
        let _ = call.timeout(Duration::from_secs(60)).send_ok().await;
    }
    state.borrow_mut().orders.loading = false;
}

async fn control(state: Shared, request: Request<Incoming>) -> Response<ReplyBody> {
    take_json(request, |control: Control| {
        let mut state = state.borrow_mut();
        state.faults.extend(control.next);
        state.crash_on = control.crash_on.or(state.crash_on.take());
        state.leaving = control.leaving.unwrap_or(state.leaving);
        state.settings.step_ms = control.step_ms.unwrap_or(state.settings.step_ms);
        state.lose_orders = control.lose_orders.unwrap_or(state.lose_orders);
    })
    .await
}
