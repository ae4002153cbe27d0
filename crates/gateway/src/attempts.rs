//! Sends a request to endpoints, one at a time, until one responds.

use std::{rc::Rc, time::Duration};

use hyper::{Method, Response, StatusCode};
use mimosaledge_core::hash::hash64;
use mimosaledge_net::server::ReplyBody;
use mimosaledge_policy::{RetryPolicy, admission::Progress, health::Outcome};
use tokio::time::timeout;

use crate::{
    attempt::{Attempt, AttemptError, OpenResponse, log_failure, log_silence},
    body_buffer::{self, BodyError, MAX_RESPONSE_BYTES},
    budget, continuation, eligibility,
    endpoint_handle::EndpointHandle,
    error_response::{Code, ErrorResponse},
    fairness,
    forward::{self, ForwardError},
    framing::Framing,
    gateway::Gateway,
    headers::strip_hop_by_hop_headers,
    pool::ConnectionChoice,
    promises::{makes_false_promise, promises_not_run},
    quarantine, relay,
    request_context::RequestContext,
    retry_state::RetryState,
    selection::{self, MIN_REMAINING_MS, Selection, Unavailable},
    silence::{Waited, Waiting},
};

/// Retry delay for a request whose endpoints are all evacuated, or unavailable in its home
/// regions, in milliseconds: operators or new endpoints end that, not other requests.
const UNAVAILABLE_RETRY_MS: u64 = 1_000;
/// Minimum retry delay for a request that no endpoint accepted, in
/// milliseconds.
///
/// Jitter of up to the same time, derived from a hash of the attempt's
/// identifier, is added, so that refused requests are not all retried at once.
const MIN_RETRY_AFTER_MS: u64 = 150;

/// Sends a request to endpoints until one responds or no attempt is left.
///
/// Attempts that certainly did not run do not count towards the route's maximum
/// number of attempts. A server error is returned as the response if the route
/// allows no retry or if no later attempt succeeds.
///
/// # Errors
///
/// Returns an error response if the request is quarantined, every engine is
/// overloaded, or no endpoint sent a usable response.
pub(crate) async fn run(
    gateway: &Rc<Gateway>,
    context: Rc<RequestContext>,
) -> Result<Response<ReplyBody>, ErrorResponse> {
    let mut retry_state = RetryState::new(&context);
    let is_forward_due = forward::is_due(gateway, &context);
    if !is_forward_due {
        budget::record_request(gateway, &context, &mut retry_state);
    }
    if let Some(retry_ms) = quarantine::find_refusal(gateway, &context) {
        return Err(ErrorResponse::with_retry_after(Code::Crasher, retry_ms));
    }
    if !selection::ends_in_time(gateway, &context) {
        return Err(stopping_error(&context.metadata.attempt_id));
    }
    if is_forward_due {
        let forwarded = forward::run(gateway, &context, &mut retry_state.sends).await;
        return forwarded.map_err(|it| forward_error(&context, it));
    }
    let progress = if context.build.is_some() { Progress::Started } else { Progress::New };
    let mut server_error = None;
    let mut last_error = AttemptError::NotRun;
    let mut replacement = None;
    loop {
        let attempt = match replacement.take() {
            Some(attempt) => attempt,
            None => match start_next(gateway, &context, &mut retry_state, progress).await? {
                Some(attempt) => attempt,
                None => break,
            },
        };
        let handle = attempt.handle.clone();
        let patience_ms = selection::response_timeout_ms(gateway, &context, &retry_state, &handle);
        let waiting = Waiting {
            gateway,
            context: &context,
            retry_state: &mut retry_state,
            handle: handle.clone(),
            last_event: context.metadata.last_event,
            progress,
            patience: Duration::from_millis(patience_ms),
        };
        let opened = match waiting.run(attempt.response).await {
            Waited::Received(opened, next) => {
                replacement = next;
                opened
            }
            Waited::Replaced(attempt) => {
                last_error = log_silence(gateway, &context, &handle);
                replacement = Some(attempt);
                continue;
            }
            Waited::Expired => Err(log_silence(gateway, &context, &handle)),
        };
        let error = match opened {
            Ok(open) if context.route().streaming && open.head.status.is_success() => {
                if continuation::may_answer(&context, &open) {
                    return Ok(relay::start(gateway, context, open, retry_state));
                }
                let (error, cause) = (AttemptError::Unknown, "no continuation of the stream");
                log_failure(gateway, &context, &handle, error, cause)
            }
            Ok(open) => match collect_response(gateway, &context, open).await {
                Ok(response) if makes_false_promise(&context, response.status()) => {
                    return Err(reject_promise(gateway, &context, &handle));
                }
                Ok(response) if !should_retry(&context, &response) => {
                    return Ok(response);
                }
                Ok(response) => {
                    server_error = Some(response);
                    AttemptError::Unknown
                }
                Err(error) => error,
            },
            Err(error) => error,
        };
        retry_state.record_failure(error);
        if matches!(error, AttemptError::Unknown | AttemptError::Silent) {
            last_error = error;
        }
        // No other endpoint changes what this gateway lacks.
        if error == AttemptError::NoMemory {
            last_error = AttemptError::Unknown;
            break;
        }
        if replacement.is_some() {
            continue;
        }
        if retry_state.is_used_up(context.route())
            || (retry_state.may_have_run() && context.route().retry == RetryPolicy::Never)
        {
            break;
        }
    }
    if let Some(response) = server_error {
        return Ok(response);
    }
    let may_run = !retry_state.may_have_run()
        || (context.route().retry != RetryPolicy::Never
            && !retry_state.is_used_up(context.route()));
    if !may_run || !forward::is_due(gateway, &context) {
        return Err(final_error(gateway, &context, &retry_state, last_error));
    }
    budget::prepay(gateway, &context, &mut retry_state);
    match forward::run(gateway, &context, &mut retry_state.sends).await {
        // It has not run at the other gateway, but may have run before.
        Ok(response) if retry_state.may_have_run() && promises_not_run(response.status()) => {
            Err(final_error(gateway, &context, &retry_state, last_error))
        }
        Ok(response) => Ok(response),
        Err(ForwardError::NotRun | ForwardError::NoEndpoint) => {
            Err(final_error(gateway, &context, &retry_state, last_error))
        }
        Err(error) => Err(forward_error(&context, error)),
    }
}

/// Logs the promise of an endpoint that is not passed on; returns the error response instead of
/// it.
fn reject_promise(
    gateway: &Gateway,
    context: &RequestContext,
    handle: &EndpointHandle,
) -> ErrorResponse {
    let cause = "promise of an endpoint that has run the request";
    log_failure(gateway, context, handle, AttemptError::Unknown, cause);
    ErrorResponse::from_code(Code::Unknown)
}

/// Returns the error response for a request that was handed over to another gateway, which
/// has not answered it.
fn forward_error(context: &RequestContext, error: ForwardError) -> ErrorResponse {
    match error {
        ForwardError::NotRun | ForwardError::NoEndpoint => {
            let retry_ms = retry_after_ms(&context.metadata.attempt_id, 0);
            ErrorResponse::with_retry_after(Code::NoEndpoint, retry_ms)
        }
        ForwardError::Unknown => ErrorResponse::from_code(Code::Unknown),
        ForwardError::Timeout => ErrorResponse::from_code(Code::Timeout),
    }
}

/// Returns the error response for a request that would not end before this gateway exits; the
/// others serve it at once.
pub(crate) fn stopping_error(attempt_id: &str) -> ErrorResponse {
    ErrorResponse::with_retry_after(Code::Stopping, retry_after_ms(attempt_id, 0))
}

/// Returns the retry delay for a request that can be accepted after `wait_ms`.
pub(crate) fn retry_after_ms(attempt_id: &str, wait_ms: u64) -> u64 {
    let jitter_ms = hash64(attempt_id.as_bytes()) % MIN_RETRY_AFTER_MS;
    MIN_RETRY_AFTER_MS.max(wait_ms) + jitter_ms
}

/// Starts an attempt at the next endpoint; returns `None` if there is none.
///
/// # Errors
///
/// Returns an error response if the request has not been sent to any endpoint yet and
/// every engine is overloaded.
async fn start_next(
    gateway: &Rc<Gateway>,
    context: &Rc<RequestContext>,
    retry_state: &mut RetryState,
    progress: Progress,
) -> Result<Option<Attempt>, ErrorResponse> {
    match selection::next_endpoint(gateway, context, retry_state, progress).await {
        Selection::Endpoint(selected) => {
            let last_event = context.metadata.last_event;
            Ok(Some(Attempt::start(gateway, context, selected, ConnectionChoice::Any, last_event)))
        }
        Selection::Overloaded if !retry_state.has_tried() && !retry_state.may_have_run() => {
            let retry_ms = fairness::retry_after_ms(gateway, context);
            Err(ErrorResponse::with_retry_after(Code::Overloaded, retry_ms))
        }
        Selection::Unavailable(Unavailable::Stopping) if !retry_state.may_have_run() => {
            Err(stopping_error(&context.metadata.attempt_id))
        }
        Selection::Overloaded | Selection::Unavailable(_) => Ok(None),
    }
}

/// Buffers the response body and returns the connection to the pool.
///
/// # Errors
///
/// Returns an error if the body is incomplete, too large or not received before
/// the deadline.
async fn collect_response(
    gateway: &Rc<Gateway>,
    context: &Rc<RequestContext>,
    open: OpenResponse,
) -> Result<Response<ReplyBody>, AttemptError> {
    let timeout_left = Duration::from_millis(context.remaining_ms(gateway.now()));
    let OpenResponse {
        in_flight,
        permit: _permit,
        received,
        connection,
        mut head,
        metadata,
        framing,
        body,
    } = open;
    let handle = in_flight.handle().clone();
    let collected = timeout(timeout_left, {
        let grant = context.client.grant();
        body_buffer::receive(body, MAX_RESPONSE_BYTES, grant, |_| {})
    })
    .await;
    let now = gateway.now();
    let collected = collected.map(|it| match it {
        Ok(body)
            if body.bytes().is_empty()
                && framing == Framing::Connection
                && has_body(context, head.status) =>
        {
            Err(BodyError::Truncated)
        }
        it => it,
    });
    let body = match collected {
        Ok(Ok(body)) => body,
        Ok(Err(BodyError::NoMemory)) => {
            let (error, cause) = (AttemptError::NoMemory, "no memory for the response");
            return Err(log_failure(gateway, context, &handle, error, cause));
        }
        Ok(Err(err)) => {
            handle.record_outcome(&gateway.settings.policy, Outcome::Failed, now);
            quarantine::check_for_crash(gateway, context, &handle, Some(received));
            let cause = match err {
                BodyError::TooLarge => "response too large",
                _ => "response truncated",
            };
            return Err(log_failure(gateway, context, &handle, AttemptError::Unknown, cause));
        }
        Err(_) => {
            handle.record_outcome(&gateway.settings.policy, Outcome::Silent, now);
            return Err(log_failure(
                gateway,
                context,
                &handle,
                AttemptError::Silent,
                "body timed out",
            ));
        }
    };
    if !metadata.closing {
        handle.pool.release(connection);
    }
    let is_error = head.status.is_server_error();
    if metadata.load.is_none() {
        fairness::record_answer(gateway, context, &in_flight, is_error, now);
    }
    if !is_error {
        let work_ms = now.since(in_flight.started());
        gateway.work_times.borrow_mut().record(&context.route().name, work_ms);
    }
    handle.record_outcome(
        &gateway.settings.policy,
        if is_error { Outcome::Failed } else { Outcome::Answered },
        now,
    );
    quarantine::clear(gateway, context, head.status.is_success());
    spdlog::info!(
        "request: id={} route={} endpoint={} status={} bytes={} forwarded={} \
         elapsed_ms={} workspace={}",
        context.metadata.attempt_id,
        context.route().name,
        handle.id(),
        head.status.as_u16(),
        body.bytes().len(),
        context.is_forwarded,
        now.since(context.arrived),
        context.workspace()
    );
    strip_hop_by_hop_headers(&mut head.headers, &*gateway.dialect);
    Ok(Response::from_parts(head, body.into_reply()))
}

/// Returns whether a response with this status may have a body.
fn has_body(context: &RequestContext, status: StatusCode) -> bool {
    let is_bodyless = matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    context.head.method != Method::HEAD && !is_bodyless
}

/// Returns whether the response is a server error and the route allows a retry.
fn should_retry(context: &RequestContext, response: &Response<ReplyBody>) -> bool {
    context.route().retry != RetryPolicy::Never && response.status().is_server_error()
}

/// Returns the error response for a request that no endpoint responded to.
fn final_error(
    gateway: &Gateway,
    context: &RequestContext,
    retry_state: &RetryState,
    last_error: AttemptError,
) -> ErrorResponse {
    let is_untouched = !retry_state.has_sent(context);
    // The gateway that has handed the request over knows what it has sent itself.
    if retry_state.may_have_run() && !(context.is_forwarded && is_untouched) {
        let code = if last_error == AttemptError::Silent { Code::Timeout } else { Code::Unknown };
        return ErrorResponse::from_code(code);
    }
    let code = if context.remaining_ms(gateway.now()) < MIN_REMAINING_MS {
        Code::TooLate
    } else if is_untouched {
        eligibility::no_endpoint_code(gateway, context)
    } else {
        Code::Refused
    };
    let wait_ms = match code {
        Code::Evacuated | Code::HomeUnavailable => UNAVAILABLE_RETRY_MS,
        Code::Refused if fairness::is_short_of_room(gateway, context) => {
            let spread_ms = fairness::retry_after_ms(gateway, context);
            return ErrorResponse::with_retry_after(
                code,
                spread_ms.max(selection::wait_ms(gateway, context)),
            );
        }
        _ => selection::wait_ms(gateway, context),
    };
    ErrorResponse::with_retry_after(code, retry_after_ms(&context.metadata.attempt_id, wait_ms))
}
