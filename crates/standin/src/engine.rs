//! Stand-in for an engine, with continuous batching, a prefix cache and streamed
//! responses.

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
    cache::prefix_blocks,
    request::{Frame, GenerateRequest, checksum, output_segment, token},
};
use self::{
    batch::{Batch, Sequence},
    cache::PrefixCache,
    events::CacheEvents,
};
use crate::http_util::{apply_json, query_param};

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Maximum number of frames buffered for a slow client.
const STREAM_BUFFER_FRAMES: usize = 256;

/// Fault injected into one request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Responds normally.
    #[default]
    None,
    /// Never responds.
    Mute,
    /// Stops sending in the middle of the stream without closing it.
    Silent,
    /// Closes the connection in the middle of the stream.
    Truncate,
    /// Sends frames with the ID of another request.
    Cross,
    /// Sends one frame twice.
    Duplicate,
    /// Rejects the request without running it.
    Refuse,
}

/// Settings of an engine.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name in the VM list.
    pub name: String,
    /// Distinguishes successive runs of the process.
    pub incarnation: u32,
    /// Initially loaded model; empty for none.
    pub model: String,
    /// Duration of one step of the batch, in milliseconds.
    pub step_ms: u64,
    /// Maximum number of sequences that run concurrently.
    pub slots: usize,
    /// Maximum number of prompt tokens that a sequence processes per step.
    pub prefill_tokens: u32,
    /// Capacity of the prefix cache, in tokens.
    pub cache_tokens: u64,
    /// Time by which load reports lag behind the load, in milliseconds.
    pub report_lag_ms: u64,
    /// Whether orders with a stale fencing token are rejected.
    pub fenced: bool,
    /// Address of the weight store; without one, models load at once.
    pub weights: Option<SocketAddr>,
}

/// Changes to a running engine, sent to `POST /control`.
///
/// Absent fields leave the current values unchanged.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// Faults to inject into the next requests, in order, one per request.
    pub next: Vec<Fault>,
    /// Text whose presence in a request body makes the engine crash.
    pub crash_on: Option<String>,
    /// Whether load reports announce that the engine is leaving.
    pub leaving: Option<bool>,
    /// Duration of one step of the batch, in milliseconds.
    pub step_ms: Option<u64>,
    /// Time from a request to the head of its response, in milliseconds.
    pub head_ms: Option<u64>,
    /// Number of orders that take effect but get no response.
    pub lose_orders: Option<u32>,
}

struct State {
    settings: Settings,
    batch: Batch,
    events: CacheEvents,
    load_history: Vec<(Instant, u32)>,
    faults: Vec<Fault>,
    crash_on: Option<String>,
    leaving: bool,
    head_ms: u64,
    lose_orders: u32,
    engine_state: EngineState,
    /// Wakes the batch loop when a sequence is submitted.
    wake: Rc<Notify>,
    /// Makes the engine stop as if its process had crashed.
    crash: Rc<Notify>,
}

type SharedState = Rc<RefCell<State>>;

/// Runs the engine on `listener` until a request crashes it.
pub async fn run(listener: TcpListener, settings: Settings) {
    let wake = Rc::new(Notify::new());
    let crash = Rc::new(Notify::new());
    let cache = PrefixCache::new(settings.cache_tokens);
    let state = State {
        batch: Batch::new(settings.slots, settings.prefill_tokens, cache),
        events: CacheEvents::default(),
        load_history: Vec::new(),
        faults: Vec::new(),
        crash_on: None,
        leaving: false,
        head_ms: 0,
        lose_orders: 0,
        engine_state: EngineState {
            model: settings.model.as_str().into(),
            version: 1,
            loading: false,
            fencing_token: 0,
        },
        settings,
        wake: Rc::clone(&wake),
        crash: Rc::clone(&crash),
    };
    let state = Rc::new(RefCell::new(state));
    let batch_loop = run_batch(Rc::clone(&state), wake);
    tokio::select! {
        () = serve(listener, move |request| handle(Rc::clone(&state), request)) => {}
        () = batch_loop => {}
        () = crash.notified() => {}
    }
}

/// Advances the batch at a fixed interval while it contains sequences.
async fn run_batch(state: SharedState, wake: Rc<Notify>) {
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

async fn handle(state: SharedState, request: Request<Incoming>) -> Response<ReplyBody> {
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
            let after = query_param(request.uri().query(), "after").and_then(|it| it.parse().ok());
            json_reply(&state.borrow().events.published_after(after.unwrap_or(0), Instant::now()))
        }
        (&Method::GET, "/state") => json_reply(&state.borrow().engine_state),
        (&Method::GET, "/statistics") => json_reply(&state.borrow().batch.statistics()),
        (&Method::POST, "/orders") => handle_order(state, request).await,
        (&Method::POST, "/control") => handle_control(state, request).await,
        _ => reply(404, "unknown path"),
    }
}

impl State {
    /// Returns a load report whose load lags by the configured time; its other fields
    /// are current.
    fn load_report(&mut self, now: Instant) -> LoadReport {
        let lag = Duration::from_millis(self.settings.report_lag_ms);
        self.load_history.push((now, self.batch.load()));
        let due = self.load_history.iter().rposition(|(at, _)| now.duration_since(*at) >= lag);
        if let Some(due) = due {
            self.load_history.drain(..due);
        }
        let model =
            if self.engine_state.loading { 0 } else { hash32(self.engine_state.model.as_bytes()) };
        LoadReport {
            incarnation: self.settings.incarnation,
            load: self.load_history[0].1,
            leaving: self.leaving,
            model,
        }
    }
}

async fn generate(state: SharedState, request: Request<Incoming>) -> Response<ReplyBody> {
    let header = |name: &str| {
        let value = request.headers().get(name)?.to_str().ok()?;
        Some(value.to_owned())
    };
    let id = header("x-request-id").unwrap_or_default();
    let resume_from = header("x-resume-from").and_then(|it| it.parse().ok()).unwrap_or(0);
    let priority = header("x-priority").and_then(|it| it.parse().ok()).unwrap_or(0);
    let Ok(body) = read_body(request.into_body(), MAX_BODY_BYTES).await else {
        return reply(400, "cannot read request body");
    };
    let generate: GenerateRequest = match serde_json::from_slice(&body) {
        Ok(generate) => generate,
        Err(err) => return reply(400, err.to_string()),
    };
    let fault = match check_request(&state, &body, &generate) {
        Ok(Fault::Mute) => return std::future::pending().await,
        Ok(fault) => fault,
        Err(Refusal::Crashing) => return reply(500, "crashing"),
        Err(Refusal::NotRun(reason)) => return refuse(reason),
    };
    let head_ms = state.borrow().head_ms;
    if head_ms > 0 {
        time::sleep(Duration::from_millis(head_ms)).await;
    }
    let (sender, body) = channel_body(STREAM_BUFFER_FRAMES);
    let sequence = Sequence::new(id.clone(), generate, priority, resume_from, fault, sender);
    state.borrow_mut().batch.submit(sequence);
    state.borrow().wake.notify_one();
    let mut response = Response::new(body);
    if let Ok(value) = id.parse() {
        response.headers_mut().insert("x-request-id", value);
    }
    response
}

/// The reason that a request is not run.
enum Refusal {
    Crashing,
    NotRun(&'static str),
}

/// Decides whether to run a request, and returns the fault to inject into it.
fn check_request(
    state: &SharedState,
    body: &[u8],
    generate: &GenerateRequest,
) -> Result<Fault, Refusal> {
    let mut state = state.borrow_mut();
    if state.crash_on.as_ref().is_some_and(|marker| contains(body, marker.as_bytes())) {
        state.crash.notify_one();
        return Err(Refusal::Crashing);
    }
    if state.engine_state.loading || *state.engine_state.model != generate.model {
        return Err(Refusal::NotRun("model is not loaded"));
    }
    let fault = if state.faults.is_empty() { Fault::None } else { state.faults.remove(0) };
    if fault == Fault::Refuse { Err(Refusal::NotRun("refused")) } else { Ok(fault) }
}

fn refuse(reason: &'static str) -> Response<ReplyBody> {
    let mut response = reply(503, reason);
    response.headers_mut().insert("x-not-run", hyper::header::HeaderValue::from_static("1"));
    response
}

fn contains(text: &[u8], part: &[u8]) -> bool {
    text.windows(part.len().max(1)).any(|window| window == part)
}

async fn handle_order(state: SharedState, request: Request<Incoming>) -> Response<ReplyBody> {
    let Ok(body) = read_body(request.into_body(), MAX_BODY_BYTES).await else {
        return reply(400, "cannot read request body");
    };
    let Ok(order) = serde_json::from_slice::<Order>(&body) else {
        return reply(400, "malformed order");
    };
    match apply_order(&state, order) {
        OrderOutcome::Stale => reply(409, "stale fencing token"),
        OrderOutcome::Applied => reply(200, ""),
        OrderOutcome::ResponseLost => std::future::pending().await,
    }
}

enum OrderOutcome {
    Applied,
    Stale,
    /// The order was applied, but its response is withheld.
    ResponseLost,
}

fn apply_order(state: &SharedState, order: Order) -> OrderOutcome {
    let mut guard = state.borrow_mut();
    if guard.settings.fenced && order.fencing_token < guard.engine_state.fencing_token {
        return OrderOutcome::Stale;
    }
    guard.engine_state.fencing_token = order.fencing_token;
    if guard.engine_state.model != order.model || guard.engine_state.version != order.version {
        guard.engine_state.model = order.model;
        guard.engine_state.version = order.version;
        guard.engine_state.loading = true;
        task::spawn_local(load_model(Rc::clone(state), order.weight_mib));
    }
    if guard.lose_orders == 0 {
        return OrderOutcome::Applied;
    }
    guard.lose_orders -= 1;
    OrderOutcome::ResponseLost
}

async fn load_model(state: SharedState, weight_mib: u64) {
    let weights = state.borrow().settings.weights;
    if let Some(addr) = weights {
        let call = Call::post(addr, format!("/weights?mib={weight_mib}"), "");
        // Only the duration of the call is emulated; the model loads even if it fails.
        let _ = call.timeout(Duration::from_secs(60)).send_ok().await;
    }
    state.borrow_mut().engine_state.loading = false;
}

async fn handle_control(state: SharedState, request: Request<Incoming>) -> Response<ReplyBody> {
    apply_json(request, |control: Control| {
        let mut state = state.borrow_mut();
        state.faults.extend(control.next);
        state.crash_on = control.crash_on.or(state.crash_on.take());
        state.leaving = control.leaving.unwrap_or(state.leaving);
        state.settings.step_ms = control.step_ms.unwrap_or(state.settings.step_ms);
        state.head_ms = control.head_ms.unwrap_or(state.head_ms);
        state.lose_orders = control.lose_orders.unwrap_or(state.lose_orders);
    })
    .await
}
