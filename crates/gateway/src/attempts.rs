//! Sends one request to endpoints, one after the other.

use std::{net::SocketAddrV4, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, Response, Version, body::Incoming, http::response};
use mimosaledge_net::server::{ReplyBody, full_body};
use mimosaledge_policy::{
    Repeat, cached,
    health::Outcome,
    placement::{self, Candidate, Prefix},
};
use tokio::{
    task::spawn_local,
    time::{sleep, timeout},
};

use crate::{
    answer::{Code, Refusal},
    dialect::{Answer, Forward},
    fleet::Slot,
    gateway::Gateway,
    headers::strip_connection_headers,
    loads::InFlight,
    pool::{Connection, SendError},
    relay,
    request::Job,
};

/// Time left below which a request is not sent, in milliseconds.
const MIN_LEFT_MS: u64 = 15;
/// Endpoints that may refuse a request before it is given up.
const MAX_SENDS: u32 = 4;
/// Wait of a client whose request no endpoint took, in milliseconds; twice as
/// long at most.
const REFUSED_WAIT_MS: u64 = 150;
/// Largest answer that is collected before it is passed on, in bytes.
const MAX_WHOLE_BYTES: usize = 512 * 1024;
/// Time between a broken connection and the look whether its endpoint died.
const DEATH_LOOK: Duration = Duration::from_millis(30);
/// Shortest time for an answer before an idempotent request is sent to
/// another endpoint, in milliseconds.
const MIN_ANSWER_MS: u64 = 350;
/// Shortest time for the head of a stream that can be resumed before it is
/// asked of another endpoint, in milliseconds.
const MIN_STREAM_MS: u64 = 2_000;
/// Multiple of the route's goal after which a request is sent to another
/// endpoint.
const GOAL_MULTIPLE: u64 = 4;

/// An answer whose head has come.
#[derive(Debug)]
pub(crate) struct Open {
    pub(crate) in_flight: InFlight,
    pub(crate) connection: Connection,
    pub(crate) head: response::Parts,
    pub(crate) answer: Answer,
    pub(crate) body: Incoming,
}

/// Why an attempt brought no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The request did not run and will not.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request may have run, and nothing came in time.
    Silent,
}

/// The endpoints that a request has been sent to.
#[derive(Debug, Default)]
pub(crate) struct Tries {
    pub(crate) nodes: Vec<u64>,
    pub(crate) sent: u32,
    pub(crate) ran: u32,
}

/// Sends a request until it is answered or given up.
pub(crate) async fn run(
    gateway: &Rc<Gateway>,
    job: Rc<Job>,
) -> Result<Response<ReplyBody>, Refusal> {
    gateway.budget.borrow_mut().note_request(&job.service, gateway.now());
    if gateway.crashers.borrow().is_blocked(job.fingerprint, gateway.now()) {
        return Err(Refusal::from_code(Code::Crasher));
    }
    let mut tries = Tries::default();
    let mut failed_answer = None;
    let mut last = Failure::NotRun;
    while let Some(slot) = next_endpoint(gateway, &job, &mut tries) {
        let limit_ms = answer_limit(&job, &tries, gateway);
        let opened = send_once(gateway, &job, &slot, job.ask.last_event, limit_ms).await;
        let failure = match opened {
            Ok(open) if job.route().streaming && open.head.status.is_success() => {
                return Ok(relay::start(gateway, job, open, tries));
            }
            Ok(open) => match collect(gateway, &job, open).await {
                Ok(response) if !is_worth_repeating(&job, &response) => {
                    return Ok(response);
                }
                Ok(response) => {
                    failed_answer = Some(response);
                    Failure::Unknown
                }
                Err(failure) => failure,
            },
            Err(failure) => failure,
        };
        if failure == Failure::NotRun {
            continue;
        }
        last = failure;
        tries.ran += 1;
        if job.route().repeat == Repeat::Never || tries.ran >= job.route().max_attempts {
            break;
        }
    }
    failed_answer.ok_or_else(|| refusal(gateway, &job, &tries, last))
}

/// Chooses the next endpoint, if there is time, budget and an endpoint left.
pub(crate) fn next_endpoint(gateway: &Gateway, job: &Job, tries: &mut Tries) -> Option<Rc<Slot>> {
    let now = gateway.now();
    if job.left_ms(now) < MIN_LEFT_MS || tries.sent >= MAX_SENDS {
        return None;
    }
    let slot = place(gateway, job, tries)?;
    if tries.sent > 0 {
        if !gateway.budget.borrow_mut().take(&job.service, gateway.gateways(), now) {
            spdlog::info!("retry: id={} denied=true cause=budget", job.ask.attempt);
            return None;
        }
        gateway.metrics.repeats.inc();
    }
    tries.sent += 1;
    tries.nodes.push(slot.node());
    Some(slot)
}

fn place(gateway: &Gateway, job: &Job, tries: &Tries) -> Option<Rc<Slot>> {
    let now = gateway.now();
    let fleet = gateway.fleet.borrow();
    let loads = gateway.loads.borrow();
    let open: Vec<&Rc<Slot>> = fleet
        .of_service(&job.service)
        .iter()
        .filter(|it| it.is_open() && !tries.nodes.contains(&it.node()))
        .collect();
    let candidates: Vec<Candidate> =
        open.iter().map(|it| it.to_candidate(&gateway.settings.data_centre, &loads, now)).collect();
    let pick = mimosaledge_core::hash::hash64(job.ask.attempt.as_bytes());
    let prefix =
        job.prefix.map(|key| Prefix { key, running: f64::from(loads.with_prefix(key) + 1) });
    let at = placement::choose(prefix, &candidates, pick)?;
    let chosen = &candidates[at];
    spdlog::info!(
        "place: id={} route={} endpoint={} load={} near={} failing={:.2} open={} sent={} config={}",
        job.ask.attempt,
        job.route().name,
        open[at].id(),
        chosen.load,
        chosen.near,
        chosen.failing,
        open.len(),
        tries.sent,
        gateway.version()
    );
    Some(open[at].clone())
}

/// Returns how long the next endpoint may take to begin its answer.
fn answer_limit(job: &Job, tries: &Tries, gateway: &Gateway) -> u64 {
    let left_ms = job.left_ms(gateway.now());
    let patience_ms = job.route().goal_ms * GOAL_MULTIPLE;
    let may_repeat = tries.ran + 1 < job.route().max_attempts;
    match job.route().repeat {
        Repeat::Always if may_repeat => patience_ms.max(MIN_ANSWER_MS).min(left_ms * 2 / 3),
        Repeat::Resume if may_repeat => patience_ms.max(MIN_STREAM_MS).min(left_ms * 2 / 3),
        _ => left_ms,
    }
}

/// Sends a request to one endpoint and waits for the head of the answer.
///
/// # Errors
///
/// Tells whether the request may have run.
pub(crate) async fn send_once(
    gateway: &Rc<Gateway>,
    job: &Rc<Job>,
    slot: &Rc<Slot>,
    last_event: Option<u64>,
    limit_ms: u64,
) -> Result<Open, Failure> {
    let in_flight = InFlight::enter(slot.clone(), job.prefix, gateway.loads.clone());
    let request = forward(gateway, job, slot, last_event);
    let sent = timeout(Duration::from_millis(limit_ms), slot.pool.send(request)).await;
    let now = gateway.now();
    let (response, mut connection) = match sent {
        Ok(Ok(answered)) => answered,
        Ok(Err(SendError::Unreachable)) => {
            slot.note(Outcome::Unreachable, now);
            return Err(log_failure(gateway, job, slot, Failure::NotRun, "unreachable"));
        }
        Ok(Err(SendError::Broken { idle_ms })) => {
            slot.note(Outcome::Failed, now);
            look_for_death(gateway, job, slot);
            let cause = format!("connection broken, idle_ms={idle_ms:?}");
            return Err(log_failure(gateway, job, slot, Failure::Unknown, &cause));
        }
        Err(_) => {
            slot.note(Outcome::Silent, now);
            return Err(log_failure(gateway, job, slot, Failure::Silent, "no answer"));
        }
    };
    let (head, body) = response.into_parts();
    let answer = gateway.dialect.decode_answer(&head);
    connection.set_idle_limit(answer.idle_ms);
    if answer.attempt.as_ref().is_some_and(|it| *it != job.ask.attempt) {
        slot.note(Outcome::Failed, now);
        return Err(log_failure(gateway, job, slot, Failure::Unknown, "another's answer"));
    }
    if answer.misdirected {
        gateway.drop_endpoint(&slot.id());
        return Err(log_failure(gateway, job, slot, Failure::NotRun, "another endpoint"));
    }
    if answer.not_run {
        slot.note(Outcome::Refused, now);
        return Err(log_failure(gateway, job, slot, Failure::NotRun, "refused"));
    }
    if head.status.is_success() && !answer.sealed {
        slot.note(Outcome::Failed, now);
        return Err(log_failure(gateway, job, slot, Failure::Unknown, "no seal"));
    }
    Ok(Open { in_flight, connection, head, answer, body })
}

fn forward(
    gateway: &Gateway,
    job: &Job,
    slot: &Slot,
    last_event: Option<u64>,
) -> Request<Full<Bytes>> {
    let fetch_from = fetch_source(gateway, job, slot);
    let forward = Forward {
        deadline_ms: job.left_ms(gateway.now()),
        endpoint: slot.id(),
        workspace: job.admitted.workspace.clone(),
        priority: job.prefix.is_some().then_some(job.admitted.priority),
        last_event,
        fetch_from,
    };
    let mut headers = gateway.dialect.encode_forward(&job.head.headers, &forward);
    strip_connection_headers(&mut headers);
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.head.method.clone();
    *request.uri_mut() = origin_form(&job.head.uri);
    *request.version_mut() = Version::HTTP_11;
    *request.headers_mut() = headers;
    request
}

/// Returns the engine that has the prompt's prefix cached if `slot` may not.
fn fetch_source(gateway: &Gateway, job: &Job, slot: &Slot) -> Option<SocketAddrV4> {
    let prefix = job.prefix?;
    let now = gateway.now();
    let fleet = gateway.fleet.borrow();
    let reachable: Vec<&Rc<Slot>> =
        fleet.of_service(&job.service).iter().filter(|it| it.is_reachable()).collect();
    let nodes: Vec<u64> = reachable.iter().map(|it| it.node()).collect();
    let mut cached = gateway.cached.borrow_mut();
    let source = cached::fetch_source(prefix, slot.node(), &nodes, &cached, now);
    cached.note(prefix, slot.node(), now);
    source.map(|at| reachable[at].endpoint.borrow().address)
}

fn origin_form(uri: &hyper::Uri) -> hyper::Uri {
    match uri.path_and_query() {
        Some(path) => hyper::Uri::from(path.clone()),
        None => uri.clone(),
    }
}

async fn collect(
    gateway: &Rc<Gateway>,
    job: &Rc<Job>,
    open: Open,
) -> Result<Response<ReplyBody>, Failure> {
    let left = Duration::from_millis(job.left_ms(gateway.now()));
    let Open { in_flight, connection, mut head, answer, body } = open;
    let slot = in_flight.slot().clone();
    let collected = timeout(left, Limited::new(body, MAX_WHOLE_BYTES).collect()).await;
    let now = gateway.now();
    let bytes = match collected {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(_)) => {
            slot.note(Outcome::Failed, now);
            look_for_death(gateway, job, &slot);
            return Err(log_failure(gateway, job, &slot, Failure::Unknown, "answer cut"));
        }
        Err(_) => {
            slot.note(Outcome::Silent, now);
            return Err(log_failure(gateway, job, &slot, Failure::Silent, "answer incomplete"));
        }
    };
    if !answer.closing {
        slot.pool.give_back(connection);
    }
    let failed = head.status.is_server_error();
    slot.note(if failed { Outcome::Failed } else { Outcome::Answered }, now);
    gateway.crashers.borrow_mut().acquit(job.fingerprint);
    spdlog::info!(
        "request: id={} route={} endpoint={} status={} bytes={} elapsed_ms={}",
        job.ask.attempt,
        job.route().name,
        slot.id(),
        head.status.as_u16(),
        bytes.len(),
        now.since(job.arrived)
    );
    strip_connection_headers(&mut head.headers);
    Ok(Response::from_parts(head, full_body(bytes)))
}

fn is_worth_repeating(job: &Job, response: &Response<ReplyBody>) -> bool {
    job.route().repeat != Repeat::Never && response.status().is_server_error()
}

fn refusal(gateway: &Gateway, job: &Job, tries: &Tries, last: Failure) -> Refusal {
    if tries.ran > 0 {
        let code = if last == Failure::Silent { Code::Timeout } else { Code::Unknown };
        return Refusal::from_code(code);
    }
    let code = if job.left_ms(gateway.now()) < MIN_LEFT_MS {
        Code::TooLate
    } else if tries.sent == 0 {
        Code::NoEndpoint
    } else {
        Code::Refused
    };
    let spread = mimosaledge_core::hash::hash64(job.ask.attempt.as_bytes()) % REFUSED_WAIT_MS;
    Refusal::come_back(code, REFUSED_WAIT_MS + spread)
}

/// Looks shortly after a connection broke whether its endpoint died, and if so
/// blames the request that it ran.
pub(crate) fn look_for_death(gateway: &Rc<Gateway>, job: &Rc<Job>, slot: &Rc<Slot>) {
    let (gateway, slot, fingerprint) = (gateway.clone(), slot.clone(), job.fingerprint);
    spawn_local(async move {
        sleep(DEATH_LOOK).await;
        if slot.pool.try_connect().await {
            return;
        }
        let now = gateway.now();
        slot.note(Outcome::Unreachable, now);
        if gateway.crashers.borrow_mut().blame(fingerprint, slot.node(), now) {
            spdlog::info!("crasher: fingerprint={fingerprint:016x} endpoint={}", slot.id());
            gateway.peers.borrow_mut().tell_death(fingerprint, slot.node(), now);
        }
    });
}

fn log_failure(
    gateway: &Gateway,
    job: &Job,
    slot: &Slot,
    failure: Failure,
    cause: &str,
) -> Failure {
    spdlog::info!(
        "attempt: id={} endpoint={} outcome={failure:?} cause={cause:?} elapsed_ms={}",
        job.ask.attempt,
        slot.id(),
        gateway.now().since(job.arrived)
    );
    failure
}
