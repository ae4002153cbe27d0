//! Requests to model engines: placement, admission, streaming and resumption.

use std::{fmt, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, header::HOST};
use mimosaledge_core::{
    Code,
    endpoints::{EndpointId, LoadReport},
    gate::{self, AskId},
    hash::hash32,
    place::{ChatView, EngineView, PlaceHint},
    quarantine::Standing,
};
use mimosaledge_platform::{
    Category,
    http::Call,
    pool::Connection,
    server::{Aborted, ReplyBody, channel_body},
};
use spdlog::{info, warn};
use tokio::{sync::mpsc::Sender, time};

use crate::{
    admission::{Admission, Admitted, admit, pool_mean},
    answer::{Refusal, set_header},
    deaths::{self, OpenGuard},
    front::OpenRequest,
    node::{Node, preset},
    relay::{Piece, Relay, StreamError},
    request::Ask,
};

/// Engines asked for room before the request queues at the least loaded one.
const MAX_ASKED: usize = 4;
/// Wait for the engine that holds a chat's prefix before the chat moves on.
/// It is short beside the limit on the first token, and a move costs the
/// prefix.
const PATIENCE: Duration = Duration::from_millis(50);
/// Times that a broken answer is taken up again.
const MAX_RESUMES: u32 = 3;
/// Pieces of an answer that wait for a slow caller.
const STREAM_DEPTH: usize = 64;
/// Longest wait for the proper end of an answer whose last piece has arrived.
const END_LIMIT: Duration = Duration::from_millis(100);
/// Longest wait for an engine that is asked whether it is alive.
const ALIVE_LIMIT: Duration = Duration::from_millis(100);
/// Pause before a suspect runs again, so that routers learn of its first
/// crash before they could help it to a third.
const SUSPECT_PAUSE: Duration = Duration::from_millis(50);

/// Why a request was not started.
struct NotStarted {
    code: Code,
    retry_ms: Option<u32>,
}

impl NotStarted {
    /// Notes that an engine refused the request; that does not undo an earlier
    /// engine that may have run it.
    fn after_refusal(self) -> NotStarted {
        match self.code {
            Code::AnswerBroken => self,
            _ => Code::EndpointRefused.into(),
        }
    }
}

impl From<Code> for NotStarted {
    fn from(code: Code) -> NotStarted {
        NotStarted { code, retry_ms: None }
    }
}

/// A request that runs on an engine.
struct Run {
    engine: EndpointId,
    incarnation: u32,
    relay: Relay,
    connection: Connection,
    _admission: Option<Admission>,
    _open: OpenGuard,
}

/// Runs a request on an engine and streams the answer.
pub(crate) async fn answer(
    node: &Rc<Node>,
    ask: &Rc<Ask>,
    open: OpenRequest,
) -> Response<ReplyBody> {
    let run = match start(node, ask, 0, None).await {
        Ok(run) => run,
        Err(refused) => {
            info!("route: {} of {} was refused: {}", ask.run_id, ask.workspace, refused.code);
            let refusal = Refusal::new(node, refused.code);
            let refusal = match refused.retry_ms {
                Some(ms) => refusal.retry_after(u64::from(ms)),
                None => refusal,
            };
            return refusal.into_response(refused.code);
        }
    };
    let hint = PlaceHint { engine: run.engine, incarnation: run.incarnation };
    let (sender, body) = channel_body(STREAM_DEPTH);
    let (node, ask) = (Rc::clone(node), Rc::clone(ask));
    let mut response = Response::new(body);
    set_header(&mut response, "x-place-hint", &hint.to_string());
    set_header(&mut response, "x-run-id", &ask.run_id);
    tokio::task::spawn_local(async move {
        let stream = Stream { node, ask, sender, resumes: 0 };
        stream.relay(run).await;
        drop(open);
    });
    response
}

/// The way of one answer to its caller.
struct Stream {
    node: Rc<Node>,
    ask: Rc<Ask>,
    sender: Sender<Result<Bytes, Aborted>>,
    resumes: u32,
}

/// How the relaying of an answer ended.
enum Ended {
    Whole,
    CallerGone,
    Failed(StreamError),
    Late,
}

impl Stream {
    /// Relays an answer to its end, resuming it where it breaks.
    async fn relay(mut self, mut run: Run) {
        loop {
            match self.relay_run(&mut run).await {
                Ended::Whole => return self.finish(run).await,
                Ended::CallerGone => return,
                Ended::Late => return self.fail(Code::DeadlinePassed).await,
                Ended::Failed(err) => match self.resume(run, err).await {
                    Ok(next) => run = next,
                    Err(code) => return self.fail(code).await,
                },
            }
        }
    }

    async fn relay_run(&self, run: &mut Run) -> Ended {
        let progress = Duration::from_millis(preset(&self.ask.active).progress_ms);
        loop {
            let left = Duration::from_millis(self.ask.time_left(self.node.now()));
            if left.is_zero() {
                return Ended::Late;
            }
            let (line, is_end) = match run.relay.read(progress.min(left)).await {
                Ok(Piece::Token(line)) => (line, false),
                Ok(Piece::End(line)) => (line, true),
                Err(StreamError::Silent) if left < progress => return Ended::Late,
                Err(err) => return Ended::Failed(err),
            };
            if !self.send(line).await {
                return Ended::CallerGone;
            }
            if is_end {
                return Ended::Whole;
            }
        }
    }

    async fn send(&self, line: Bytes) -> bool {
        let limit = Duration::from_millis(self.node.settings.limits.caller_ms);
        matches!(time::timeout(limit, self.sender.send(Ok(line))).await, Ok(Ok(())))
    }

    async fn finish(self, run: Run) {
        self.node.cores.borrow_mut().quarantine.acquit(self.ask.fingerprint);
        drop(self.sender);
        if run.relay.finish(END_LIMIT).await {
            run.connection.recycle();
        }
    }

    /// Takes a broken answer up again from its next piece.
    async fn resume(&mut self, run: Run, err: StreamError) -> Result<Run, Code> {
        let (node, ask) = (&self.node, &self.ask);
        warn!("route: {} broke at piece {}: {err}", ask.run_id, run.relay.next());
        let died = check_alive(node, run.engine, run.incarnation).await;
        self.resumes += 1;
        let allowed = ask.class.idempotent
            && self.resumes <= MAX_RESUMES
            && node.cores.borrow_mut().budget.take(&ask.workspace);
        if !allowed {
            return Err(Code::AnswerBroken);
        }
        node.metrics.retries.inc();
        if died {
            time::sleep(SUSPECT_PAUSE).await;
        }
        let (next, failed) = (run.relay.next(), run.engine);
        drop(run);
        start(node, ask, next, Some(failed)).await.map_err(|refused| refused.code)
    }

    /// Ends an answer that cannot be completed with a numbered error.
    async fn fail(self, code: Code) {
        warn!("route: {} failed: {code}", self.ask.run_id);
        self.node.metrics.answers.with_label_values(&[&code.as_u16().to_string()]).inc();
        let mut line = Refusal::new(&self.node, code).to_json();
        line.push(b'\n');
        self.send(line.into()).await;
    }
}

/// Starts a request on the first engine that lets it in.
///
/// `failed` is the engine that broke the request's answer at piece `from`.
async fn start(
    node: &Rc<Node>,
    ask: &Rc<Ask>,
    from: u32,
    failed: Option<EndpointId>,
) -> Result<Run, NotStarted> {
    let mut tried: Vec<EndpointId> = failed.into_iter().collect();
    let mut last = NotStarted::from(Code::NoEndpoint);
    loop {
        let is_suspect = check_standing(node, ask)?;
        let (mut ranked, uses_gates) = rank(node, ask, is_suspect);
        retain_untried(&mut ranked, &tried, failed);
        if ranked.is_empty() {
            return Err(last);
        }
        let Placed { engine, admission, reason } = if uses_gates {
            place(node, ask, &ranked, is_suspect).await?
        } else {
            Placed { engine: ranked[0], admission: None, reason: Reason::Ranked(0) }
        };
        // The wait for admission may have brought news of a death.
        check_standing(node, ask)?;
        log_route(node, ask, engine, &reason);
        match open(node, ask, engine, admission, from).await {
            Ok(run) => return Ok(run),
            Err(OpenError::NotRun) => last = last.after_refusal(),
            Err(OpenError::Broken { .. }) if !may_retry(node, ask) => {
                return Err(Code::AnswerBroken.into());
            }
            Err(OpenError::Broken { died }) => {
                last = Code::AnswerBroken.into();
                if died {
                    time::sleep(SUSPECT_PAUSE).await;
                }
            }
        }
        tried.push(engine);
    }
}

/// Removes the engines that were tried; the one that failed first is tried
/// again if no other is left.
fn retain_untried(ranked: &mut Vec<EndpointId>, tried: &[EndpointId], failed: Option<EndpointId>) {
    let only_failed = tried.len() <= 1 && failed.is_some() && ranked.len() == 1;
    if !only_failed {
        ranked.retain(|it| !tried.contains(it));
    }
}

/// Refuses a request that is quarantined; returns whether it is a suspect.
fn check_standing(node: &Node, ask: &Ask) -> Result<bool, NotStarted> {
    match node.cores.borrow().quarantine.judge(ask.fingerprint, node.now()) {
        Standing::Clean => Ok(false),
        Standing::Suspect => Ok(true),
        Standing::Refused(wait) => {
            Err(NotStarted { code: Code::Quarantined, retry_ms: Some(wait as u32) })
        }
    }
}

fn may_retry(node: &Node, ask: &Ask) -> bool {
    let allowed = ask.class.idempotent && node.cores.borrow_mut().budget.take(&ask.workspace);
    if allowed {
        node.metrics.retries.inc();
    }
    allowed
}

fn incarnation(node: &Node, engine: EndpointId) -> u32 {
    node.cores.borrow().endpoints.get(engine).map_or(0, |it| it.report.incarnation)
}

/// Ranks the live engines of the region for a request.
fn rank(node: &Node, ask: &Ask, is_suspect: bool) -> (Vec<EndpointId>, bool) {
    let cores = &mut *node.cores.borrow_mut();
    let engines: Vec<EngineView> = cores
        .endpoints
        .live_engines(hash32(ask.model.as_bytes()))
        .filter(|(_, it)| it.info.region == node.settings.region)
        .map(|(id, it)| EngineView {
            id,
            incarnation: it.report.incarnation,
            reported: it.report.load,
            admitted: it.admitted,
        })
        .collect();
    let chat = if is_suspect {
        ChatView { key: ask.fingerprint, hint: None }
    } else {
        ChatView { key: ask.chat_key(), hint: ask.hint }
    };
    let mut ranked = cores.policy.rank(&chat, &engines);
    if is_suspect {
        // All copies of a suspect go to one engine, so that they cost but one.
        ranked.truncate(1);
    }
    (ranked, cores.policy.uses_gates())
}

/// Why an engine was chosen.
enum Reason {
    /// It came at this place in the ranking and had room.
    Ranked(usize),
    /// Engines were at their bound; this one was the least loaded.
    LeastLoaded,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::Ranked(0) => f.write_str("first choice"),
            Reason::Ranked(place) => write!(f, "choice {} had room", place + 1),
            Reason::LeastLoaded => f.write_str("least loaded after waiting"),
        }
    }
}

struct Placed {
    engine: EndpointId,
    admission: Option<Admission>,
    reason: Reason,
}

/// Finds an engine with room, or queues at the least loaded of those asked.
async fn place(
    node: &Rc<Node>,
    ask: &Ask,
    ranked: &[EndpointId],
    is_suspect: bool,
) -> Result<Placed, NotStarted> {
    let mut full: Option<(u32, EndpointId)> = None;
    for (at, &engine) in ranked.iter().take(MAX_ASKED).enumerate() {
        let is_warm = ask.hint.is_some_and(|hint| hint.engine == engine);
        let patience = if is_warm { PATIENCE } else { Duration::ZERO };
        match admit_soon(node, engine, ask, is_suspect, patience).await {
            Admitted::Granted(admission) => {
                let admission = Some(admission);
                return Ok(Placed { engine, admission, reason: Reason::Ranked(at) });
            }
            Admitted::Full(load) if full.is_none_or(|(least, _)| load < least) => {
                full = Some((load, engine));
            }
            Admitted::Full(_) | Admitted::Refused(_) => {}
            Admitted::Duplicate => {
                full = Some((0, engine));
                break;
            }
        }
    }
    let Some((_, engine)) = full else { return Err(Code::Overloaded.into()) };
    let queue_ms = ask.class.queue_ms.min(ask.time_left(node.now()));
    match admit(node, engine, gate_ask(node, ask, is_suspect, queue_ms)).await {
        Admitted::Granted(admission) => {
            Ok(Placed { engine, admission: Some(admission), reason: Reason::LeastLoaded })
        }
        Admitted::Full(_) | Admitted::Duplicate => Err(Code::Overloaded.into()),
        Admitted::Refused(ms) => Err(NotStarted { code: Code::Overloaded, retry_ms: Some(ms) }),
    }
}

/// Asks for admission and waits for at most `patience`.
async fn admit_soon(
    node: &Rc<Node>,
    engine: EndpointId,
    ask: &Ask,
    is_suspect: bool,
    patience: Duration,
) -> Admitted {
    let queue_ms = patience.as_millis() as u64;
    let gate_ask = gate_ask(node, ask, is_suspect, queue_ms);
    if patience.is_zero() {
        return admit(node, engine, gate_ask).await;
    }
    // Giving up the wait gives the place in the queue back.
    time::timeout(patience, admit(node, engine, gate_ask)).await.unwrap_or(Admitted::Full(u32::MAX))
}

fn gate_ask(node: &Node, ask: &Ask, suspect: bool, queue_ms: u64) -> gate::Ask {
    gate::Ask {
        id: AskId::default(),
        workspace: ask.workspace_hash(),
        share: ask.share as f32,
        priority: ask.class.priority,
        queue_ms: queue_ms as u32,
        hold_ms: ask.time_left(node.now()) as u32,
        fingerprint: ask.fingerprint,
        suspect,
        seen_mean: pool_mean(node, hash32(ask.model.as_bytes())) as f32,
    }
}

fn log_route(node: &Node, ask: &Ask, engine: EndpointId, reason: &Reason) {
    let waited = node.now().since(ask.arrived);
    let cores = node.cores.borrow();
    let name = cores.endpoints.get(engine).map_or("unknown", |it| &it.info.name);
    info!(
        "route: {} of {} chat {} class {} to {name}: {reason}, {waited} ms",
        ask.run_id, ask.workspace, ask.chat, ask.class_name
    );
}

/// Why a request did not start on the engine that let it in.
enum OpenError {
    /// The engine did not run the request.
    NotRun,
    /// The engine may have begun the request.
    Broken {
        /// Whether the engine's process has died.
        died: bool,
    },
}

async fn open(
    node: &Rc<Node>,
    ask: &Ask,
    engine: EndpointId,
    admission: Option<Admission>,
    from: u32,
) -> Result<Run, OpenError> {
    let Some((addr, incarnation)) =
        node.cores.borrow().endpoints.get(engine).map(|it| (it.info.addr, it.report.incarnation))
    else {
        return Err(OpenError::NotRun);
    };
    // A resumed request must not meet the connection that has just failed.
    let connection =
        if from == 0 { node.upstream.reuse(addr).await } else { node.upstream.connect(addr).await };
    let Ok(mut connection) = connection else {
        note_refused(node, engine);
        return Err(OpenError::NotRun);
    };
    // Only what was sent to an engine is blamed for its death.
    let open = node.open_work.open(engine, ask.fingerprint);
    let request = Request::post("/generate")
        .header(HOST, addr.to_string())
        .header("x-request-id", &*ask.run_id)
        .header("x-priority", u16::from(ask.class.priority))
        .header("x-resume-from", from)
        .body(Full::new(ask.body.clone()))
        .map_err(|_| OpenError::NotRun)?;
    let progress = preset(&ask.active).progress_ms.min(ask.time_left(node.now()));
    let sent = connection.send(request, Duration::from_millis(progress)).await;
    let response = match sent {
        Ok(response) if response.headers().contains_key("x-not-run") => {
            return Err(OpenError::NotRun);
        }
        Ok(response) if is_own(&response, &ask.run_id) => response,
        _ => {
            let died = check_alive(node, engine, incarnation).await;
            drop(open);
            return Err(OpenError::Broken { died });
        }
    };
    let relay = Relay::new(response.into_body(), ask.run_id.clone(), from);
    Ok(Run { engine, incarnation, relay, connection, _admission: admission, _open: open })
}

/// Returns whether an answer is a success of the request itself.
fn is_own(response: &Response<Incoming>, run_id: &str) -> bool {
    let echoed = response.headers().get("x-request-id").is_some_and(|it| it == run_id);
    response.status() == 200 && echoed
}

fn note_refused(node: &Rc<Node>, engine: EndpointId) {
    let incarnation = incarnation(node, engine);
    deaths::endpoint_died(node, engine, incarnation);
    let now = node.now();
    if let Some(endpoint) = node.cores.borrow_mut().endpoints.get_mut(engine) {
        endpoint.refused(now);
    }
}

/// Finds out whether the engine process that broke a connection has died, and
/// blames the requests that were open at it if so.
async fn check_alive(node: &Rc<Node>, engine: EndpointId, incarnation: u32) -> bool {
    let Some(addr) = node.cores.borrow().endpoints.get(engine).map(|it| it.info.addr) else {
        return false;
    };
    let answer = Call::get(addr, "/load").timeout(ALIVE_LIMIT).meter(&node.probe_meter);
    let died = match answer.send_ok().await {
        Ok(body) => serde_json::from_slice::<LoadReport>(&body)
            .is_ok_and(|report| report.incarnation != incarnation),
        Err(err) => err.category() == Category::Unreachable,
    };
    if died {
        deaths::endpoint_died(node, engine, incarnation);
        let now = node.now();
        if let Some(endpoint) = node.cores.borrow_mut().endpoints.get_mut(engine) {
            endpoint.refused(now);
        }
    }
    died
}
