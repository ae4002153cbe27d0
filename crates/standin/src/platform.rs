//! The platform: log service, VM list and weight store.

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
use self::{log::LogService, vms::LaggingList, weights::WeightStore};
use crate::reply::{query, take_json};

const BODY_LIMIT: usize = 4 << 20;

/// How a service of the platform behaves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Answers.
    #[default]
    Up,
    /// Answers every call with an error.
    Down,
    /// Never answers.
    Hang,
}

/// Changes to the running platform.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// Behaviour of the log.
    pub log: Option<Mode>,
    /// Appends that are carried out but not answered.
    pub lose_appends: Option<u32>,
    /// Behaviour of the VM list.
    pub list: Option<Mode>,
    /// Lag of the VM list, in milliseconds.
    pub list_lag_ms: Option<u64>,
    /// Most records that a stream keeps.
    pub keep_records: Option<usize>,
    /// Appends allowed per second.
    pub appends_per_s: Option<u32>,
    /// New list of VMs, shown after the lag.
    pub vms: Option<Vec<Vm>>,
}

/// Settings of the platform.
#[derive(Debug, Clone)]
pub struct Settings {
    /// VMs listed from the start.
    pub vms: Vec<Vm>,
    /// Lag of the VM list, in milliseconds.
    pub list_lag_ms: u64,
    /// Most records that a stream keeps.
    pub keep_records: usize,
    /// Appends allowed per second.
    pub appends_per_s: u32,
    /// Rate of the weight store, in mebibytes per second.
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
    list: LaggingList,
    weights: WeightStore,
    log_mode: Mode,
    lose_appends: u32,
    list_mode: Mode,
}

impl State {
    /// Returns whether the answer to the present append is lost.
    fn lose_append(&mut self) -> bool {
        let lose = self.lose_appends > 0;
        self.lose_appends = self.lose_appends.saturating_sub(1);
        lose
    }
}

/// Serves on `listener`.
pub async fn run(listener: TcpListener, settings: Settings) {
    let state = State {
        log: LogService::new(settings.keep_records, settings.appends_per_s),
        list: LaggingList::new(settings.vms, settings.list_lag_ms),
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
        return guarded(mode, serve_log(state, stream, request)).await;
    }
    match (request.method(), path.as_str()) {
        (&Method::GET, "/vms") => {
            let mode = state.borrow().list_mode;
            guarded(mode, async move { show_list(&state, &request) }).await
        }
        (&Method::POST, "/weights") => fetch_weights(state, &request).await,
        (&Method::GET, "/weights") => json_reply(&state.borrow().weights.statistics()),
        (&Method::POST, "/control") => control(state, request).await,
        _ => reply(404, "unknown path"),
    }
}

/// Answers with the list and its tag, or with 304 to a caller that has it.
fn show_list(state: &RefCell<State>, request: &Request<Incoming>) -> Response<ReplyBody> {
    let mut state = state.borrow_mut();
    let (tag, vms) = state.list.shown(Instant::now());
    let tag = format!("\"{tag}\"");
    let known = request.headers().get(IF_NONE_MATCH).is_some_and(|it| *it == tag);
    let mut response = if known { reply(304, "") } else { json_reply(vms) };
    if let Ok(value) = tag.parse() {
        response.headers_mut().insert(ETAG, value);
    }
    response
}

async fn guarded(
    mode: Mode,
    answer: impl Future<Output = Response<ReplyBody>>,
) -> Response<ReplyBody> {
    match mode {
        Mode::Up => answer.await,
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
        let from = query(request.uri().query(), "from").and_then(|it| it.parse().ok());
        return json_reply(&state.borrow().log.read(stream, from.unwrap_or(0)));
    }
    let Ok(body) = read_body(request.into_body(), BODY_LIMIT).await else {
        return reply(400, "broken body");
    };
    let text = String::from_utf8_lossy(&body).into_owned();
    let appended = state.borrow_mut().log.append(stream, text, Instant::now());
    let Some(offset) = appended else { return reply(429, "append rate exceeded") };
    if state.borrow_mut().lose_append() {
        return std::future::pending().await;
    }
    reply(200, format!("{{\"offset\":{offset}}}"))
}

async fn fetch_weights(
    state: Rc<RefCell<State>>,
    request: &Request<Incoming>,
) -> Response<ReplyBody> {
    let mib = query(request.uri().query(), "mib").and_then(|it| it.parse().ok()).unwrap_or(0);
    let wait = state.borrow_mut().weights.fetch(mib, Instant::now());
    tokio::time::sleep(wait).await;
    reply(200, "")
}

async fn control(state: Rc<RefCell<State>>, request: Request<Incoming>) -> Response<ReplyBody> {
    take_json(request, |control: Control| {
        let mut state = state.borrow_mut();
        state.log_mode = control.log.unwrap_or(state.log_mode);
        state.lose_appends = control.lose_appends.unwrap_or(state.lose_appends);
        state.list_mode = control.list.unwrap_or(state.list_mode);
        state.log.set_limits(control.keep_records, control.appends_per_s);
        state.list.set(control.vms, control.list_lag_ms, Instant::now());
    })
    .await
}
