//! Sends one request to endpoints, one after the other.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, Response, Version, body::Incoming, http::response};
use mimosaledge_net::server::{ReplyBody, full_body};
use mimosaledge_policy::{
    RetryPolicy,
    admission::{self, Progress},
    health::Outcome,
};
use tokio::{
    task::spawn_local,
    time::{sleep, timeout},
};

use crate::{
    answer::{Code, Refusal},
    choice::{self, MIN_LEFT_MS, Next, Tries},
    dialect::{Answer, Forward},
    endpoint_table::EndpointHandle,
    gateway::Gateway,
    headers::strip_connection_headers,
    loads::InFlight,
    pool::{Connection, SendError},
    relay,
    request::Job,
};

/// Wait of a client whose request no endpoint took, in milliseconds; twice as
/// long at most.
const REFUSED_WAIT_MS: u64 = 150;
/// Largest answer that is collected before it is passed on, in bytes.
const MAX_WHOLE_BYTES: usize = 8 << 20;
/// Time between a broken connection and the look whether its endpoint died.
const DEATH_LOOK: Duration = Duration::from_millis(30);

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

/// Sends a request until it is answered or given up.
pub(crate) async fn run(
    gateway: &Rc<Gateway>,
    job: Rc<Job>,
) -> Result<Response<ReplyBody>, Refusal> {
    gateway.budget.borrow_mut().record_request(&job.service, gateway.now());
    if gateway.quarantine.borrow().is_refused(job.fingerprint, gateway.now()) {
        return Err(Refusal::from_code(Code::Crasher));
    }
    let mut tries = Tries::default();
    let mut failed_answer = None;
    let mut last = Failure::NotRun;
    loop {
        let slot = match choice::next_endpoint(gateway, &job, &mut tries, Progress::New) {
            Next::Send(slot) => slot,
            Next::Overloaded if tries.sent == 0 => {
                let left_ms = job.left_ms(gateway.now());
                let retry_ms = admission::retry_after_ms(left_ms, &job.ask.attempt);
                return Err(Refusal::come_back(Code::Overloaded, retry_ms));
            }
            Next::Overloaded | Next::None => break,
        };
        let limit_ms = choice::answer_limit(gateway, &job, &tries, &slot);
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
        if job.route().retry == RetryPolicy::Never || tries.ran >= job.route().max_attempts {
            break;
        }
    }
    failed_answer.ok_or_else(|| refusal(gateway, &job, &tries, last))
}

/// Sends a request to one endpoint and waits for the head of the answer.
///
/// # Errors
///
/// Tells whether the request may have run.
pub(crate) async fn send_once(
    gateway: &Rc<Gateway>,
    job: &Rc<Job>,
    slot: &Rc<EndpointHandle>,
    last_event: Option<u64>,
    limit_ms: u64,
) -> Result<Open, Failure> {
    let in_flight = InFlight::new(slot.clone(), job.prefix, gateway.loads.clone());
    let request = forward(gateway, job, slot, last_event);
    let sent = timeout(Duration::from_millis(limit_ms), slot.pool.send(request)).await;
    let now = gateway.now();
    let (response, mut connection) = match sent {
        Ok(Ok(answered)) => answered,
        Ok(Err(SendError::Unreachable)) => {
            slot.record_outcome(Outcome::Unreachable, now);
            return Err(log_failure(gateway, job, slot, Failure::NotRun, "unreachable"));
        }
        Ok(Err(SendError::Broken { idle_ms })) => {
            slot.record_outcome(Outcome::Failed, now);
            look_for_death(gateway, job, slot);
            let cause = format!("connection broken, idle_ms={idle_ms:?}");
            return Err(log_failure(gateway, job, slot, Failure::Unknown, &cause));
        }
        Err(_) => {
            slot.record_outcome(Outcome::Silent, now);
            return Err(log_failure(gateway, job, slot, Failure::Silent, "no answer"));
        }
    };
    let (head, body) = response.into_parts();
    let answer = gateway.dialect.decode_answer(&head);
    if let Some(load) = answer.load {
        slot.record_load(load, now);
    }
    connection.set_idle_limit(answer.idle_ms);
    if answer.attempt.as_ref().is_some_and(|it| *it != job.ask.attempt) {
        slot.record_outcome(Outcome::Failed, now);
        return Err(log_failure(gateway, job, slot, Failure::Unknown, "another's answer"));
    }
    if answer.misdirected {
        gateway.remove_endpoint(&slot.id());
        return Err(log_failure(gateway, job, slot, Failure::NotRun, "another endpoint"));
    }
    if answer.not_run {
        slot.record_outcome(Outcome::Refused, now);
        return Err(log_failure(gateway, job, slot, Failure::NotRun, "refused"));
    }
    if head.status.is_success() && !answer.sealed {
        slot.record_outcome(Outcome::Failed, now);
        return Err(log_failure(gateway, job, slot, Failure::Unknown, "no seal"));
    }
    Ok(Open { in_flight, connection, head, answer, body })
}

fn forward(
    gateway: &Gateway,
    job: &Job,
    slot: &EndpointHandle,
    last_event: Option<u64>,
) -> Request<Full<Bytes>> {
    let fetch_from = choice::fetch_source(gateway, job, slot);
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
    let slot = in_flight.handle().clone();
    let collected = timeout(left, Limited::new(body, MAX_WHOLE_BYTES).collect()).await;
    let now = gateway.now();
    let bytes = match collected {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(_)) => {
            slot.record_outcome(Outcome::Failed, now);
            look_for_death(gateway, job, &slot);
            return Err(log_failure(gateway, job, &slot, Failure::Unknown, "answer cut"));
        }
        Err(_) => {
            slot.record_outcome(Outcome::Silent, now);
            return Err(log_failure(gateway, job, &slot, Failure::Silent, "answer incomplete"));
        }
    };
    if !answer.closing {
        slot.pool.give_back(connection);
    }
    let failed = head.status.is_server_error();
    slot.record_outcome(if failed { Outcome::Failed } else { Outcome::Answered }, now);
    gateway.quarantine.borrow_mut().clear_suspect(job.fingerprint);
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
    job.route().retry != RetryPolicy::Never && response.status().is_server_error()
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
pub(crate) fn look_for_death(gateway: &Rc<Gateway>, job: &Rc<Job>, slot: &Rc<EndpointHandle>) {
    let (gateway, slot, fingerprint) = (gateway.clone(), slot.clone(), job.fingerprint);
    spawn_local(async move {
        sleep(DEATH_LOOK).await;
        if slot.pool.try_connect().await {
            return;
        }
        let now = gateway.now();
        slot.record_outcome(Outcome::Unreachable, now);
        if gateway.quarantine.borrow_mut().record_crash(fingerprint, slot.node(), now) {
            spdlog::info!("crasher: fingerprint={fingerprint:016x} endpoint={}", slot.id());
            gateway.peers.borrow_mut().report_crash(fingerprint, slot.node(), now);
        }
    });
}

fn log_failure(
    gateway: &Gateway,
    job: &Job,
    slot: &EndpointHandle,
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
