//! Stand-in for the platform: log, VM list and weight store.

mod log;
mod vms;
mod weights;

use std::{cell::RefCell, rc::Rc};

use hyper::{
    Method, Request, Response,
    body::Incoming,
    header::{ETAG, IF_NONE_MATCH},
};
use mimosaledge_net::{
    Vm,
    server::{ReplyBody, json_reply, read_body, reply, serve},
};
use serde::{Deserialize, Serialize};
use tokio::{net::TcpListener, time::Instant};

pub use self::weights::WeightStatistics;
use self::{log::LogService, vms::LaggingVmList, weights::WeightStore};
use crate::http_util::{apply_json, query_param};

/// Maximum size of a log record.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Availability of the log or the VM list.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Responds normally.
    #[default]
    Up,
    /// Responds to every request with status 503.
    Down,
    /// Never responds.
    Hang,
}

/// Changes to a running platform, sent to `POST /control`.
///
/// Absent fields leave the current values unchanged.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// Availability of the log.
    pub log: Option<Mode>,
    /// Number of appends that take effect but get no response.
    pub lose_appends: Option<u32>,
    /// Availability of the VM list.
    pub list: Option<Mode>,
    /// Delay before a new VM list becomes visible, in milliseconds.
    pub list_lag_ms: Option<u64>,
    /// Maximum number of records retained per stream.
    pub keep_records: Option<usize>,
    /// Maximum number of appends per second, over all streams.
    pub appends_per_s: Option<u32>,
    /// New VM list, which becomes visible after `list_lag_ms`.
    pub vms: Option<Vec<Vm>>,
}

/// Settings of the platform.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Initial VM list.
    pub vms: Vec<Vm>,
    /// Delay before a new VM list becomes visible, in milliseconds.
    pub list_lag_ms: u64,
    /// Maximum number of records retained per stream.
    pub keep_records: usize,
    /// Maximum number of appends per second, over all streams.
    pub appends_per_s: u32,
    /// Bandwidth of the weight store, in mebibytes per second.
    pub weight_mib_per_s: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            vms: Vec::new(),
            list_lag_ms: 2_000,
            keep_records: 10_000,
            appends_per_s: 300,
            weight_mib_per_s: 1_000,
        }
    }
}

struct State {
    log: LogService,
    list: LaggingVmList,
    weights: WeightStore,
    log_mode: Mode,
    lose_appends: u32,
    list_mode: Mode,
}

impl State {
    /// Returns whether to withhold the response to the current append, and counts it
    /// as lost if so.
    fn take_lost_append(&mut self) -> bool {
        let is_lost = self.lose_appends > 0;
        self.lose_appends = self.lose_appends.saturating_sub(1);
        is_lost
    }
}

/// Runs the platform on `listener`.
pub async fn run(listener: TcpListener, settings: Settings) {
    let state = State {
        log: LogService::new(settings.keep_records, settings.appends_per_s),
        list: LaggingVmList::new(settings.vms, settings.list_lag_ms),
        weights: WeightStore::new(settings.weight_mib_per_s),
        log_mode: Mode::Up,
        lose_appends: 0,
        list_mode: Mode::Up,
    };
    let state = Rc::new(RefCell::new(state));
    serve(listener, move |request| handle(Rc::clone(&state), request)).await;
}

async fn handle(state: Rc<RefCell<State>>, request: Request<Incoming>) -> Response<ReplyBody> {
    let path = request.uri().path().to_owned();
    if let Some(stream) = path.strip_prefix("/log/") {
        let mode = state.borrow().log_mode;
        return apply_mode(mode, serve_log(state, stream, request)).await;
    }
    match (request.method(), path.as_str()) {
        (&Method::GET, "/vms") => {
            let mode = state.borrow().list_mode;
            apply_mode(mode, async move { get_vm_list(&state, &request) }).await
        }
        (&Method::POST, "/weights") => fetch_weights(state, &request).await,
        (&Method::GET, "/weights") => json_reply(&state.borrow().weights.statistics()),
        (&Method::POST, "/control") => handle_control(state, request).await,
        _ => reply(404, "unknown path"),
    }
}

/// Responds with the VM list and its ETag, or with 304 if the client has the
/// current version.
fn get_vm_list(state: &RefCell<State>, request: &Request<Incoming>) -> Response<ReplyBody> {
    let mut state = state.borrow_mut();
    let (version, vms) = state.list.visible(Instant::now());
    let etag = format!("\"{version}\"");
    let not_modified = request.headers().get(IF_NONE_MATCH).is_some_and(|it| *it == etag);
    let mut response = if not_modified { reply(304, "") } else { json_reply(vms) };
    if let Ok(value) = etag.parse() {
        response.headers_mut().insert(ETAG, value);
    }
    response
}

/// Awaits `response` if `mode` is up; otherwise simulates the outage.
async fn apply_mode(
    mode: Mode,
    response: impl Future<Output = Response<ReplyBody>>,
) -> Response<ReplyBody> {
    match mode {
        Mode::Up => response.await,
        Mode::Down => reply(503, "outage"),
        Mode::Hang => std::future::pending().await,
    }
}

async fn serve_log(
    state: Rc<RefCell<State>>,
    stream: &str,
    request: Request<Incoming>,
) -> Response<ReplyBody> {
    if request.method() == Method::GET {
        let from = query_param(request.uri().query(), "from").and_then(|it| it.parse().ok());
        return json_reply(&state.borrow().log.read(stream, from.unwrap_or(0)));
    }
    let Ok(body) = read_body(request.into_body(), MAX_BODY_BYTES).await else {
        return reply(400, "cannot read request body");
    };
    let text = String::from_utf8_lossy(&body).into_owned();
    let appended = state.borrow_mut().log.append(stream, text, Instant::now());
    let Some(offset) = appended else { return reply(429, "append rate exceeded") };
    if state.borrow_mut().take_lost_append() {
        return std::future::pending().await;
    }
    reply(200, format!("{{\"offset\":{offset}}}"))
}

/// Responds when the weight store has finished serving the fetch.
async fn fetch_weights(
    state: Rc<RefCell<State>>,
    request: &Request<Incoming>,
) -> Response<ReplyBody> {
    let mib = query_param(request.uri().query(), "mib").and_then(|it| it.parse().ok()).unwrap_or(0);
    let duration = state.borrow_mut().weights.fetch(mib, Instant::now());
    tokio::time::sleep(duration).await;
    reply(200, "")
}

async fn handle_control(
    state: Rc<RefCell<State>>,
    request: Request<Incoming>,
) -> Response<ReplyBody> {
    apply_json(request, |control: Control| {
        let mut state = state.borrow_mut();
        state.log_mode = control.log.unwrap_or(state.log_mode);
        state.lose_appends = control.lose_appends.unwrap_or(state.lose_appends);
        state.list_mode = control.list.unwrap_or(state.list_mode);
        state.log.set_limits(control.keep_records, control.appends_per_s);
        state.list.update(control.vms, control.list_lag_ms, Instant::now());
    })
    .await
}
