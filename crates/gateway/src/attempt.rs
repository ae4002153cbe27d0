//! One attempt to send a request to an endpoint.

use std::{future::Future, pin::Pin, rc::Rc};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Version, body::Incoming, http::response};
use mimosaledge_core::Millis;
use mimosaledge_policy::{health::Outcome, slowness::Slowness};

use crate::{
    dialect::{ForwardMetadata, ResponseMetadata},
    endpoint_handle::EndpointHandle,
    framing::Framing,
    gateway::Gateway,
    headers::strip_hop_by_hop_headers,
    in_flight::InFlight,
    permit::Permit,
    permits,
    pool::{Connection, ConnectionChoice, SendError},
    quarantine, reach,
    request_context::RequestContext,
    selected::Selected,
    selection,
    silence::Received,
};

/// A response whose head has been received and whose body is still to be read.
pub(crate) struct OpenResponse {
    pub(crate) in_flight: InFlight,
    pub(crate) permit: Permit,
    /// When the head was received.
    pub(crate) received: Millis,
    pub(crate) connection: Connection,
    pub(crate) head: response::Parts,
    pub(crate) metadata: ResponseMetadata,
    pub(crate) framing: Framing,
    pub(crate) body: Incoming,
}

/// A request that was sent to one endpoint; dropping it cancels the request there.
pub(crate) struct Attempt {
    pub(crate) handle: Rc<EndpointHandle>,
    /// Completes when the response head has been received.
    pub(crate) response: Pin<Box<dyn Future<Output = Result<OpenResponse, AttemptError>>>>,
}

impl Attempt {
    /// Sends a request to the selected endpoint once the response is polled; a stream starts
    /// after `last_event`.
    pub(crate) fn start(
        gateway: &Rc<Gateway>,
        context: &Rc<RequestContext>,
        selected: Selected,
        choice: ConnectionChoice,
        last_event: Option<u64>,
    ) -> Attempt {
        let (gateway, context, handle) =
            (gateway.clone(), context.clone(), selected.handle.clone());
        let response =
            async move { send_once(&gateway, &context, selected, choice, last_event).await };
        Attempt { handle, response: Box::pin(response) }
    }

    /// Returns the attempt with its response, after that has been received.
    pub(crate) fn into_opened(self, open: OpenResponse) -> Attempt {
        Attempt { handle: self.handle, response: Box::pin(async move { Ok(open) }) }
    }
}

/// Why an attempt yielded no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptError {
    /// The request was not sent, since no connection could be established.
    Unsent,
    /// The request did not run and will not.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request may have run; the response timed out.
    Silent,
    /// The request has run; this gateway has no memory for the response.
    NoMemory,
}

impl AttemptError {
    fn metric_label(self) -> &'static str {
        match self {
            AttemptError::Unsent | AttemptError::NotRun => "not_run",
            AttemptError::Unknown | AttemptError::NoMemory => "unknown",
            AttemptError::Silent => "silent",
        }
    }
}

impl Received for Result<OpenResponse, AttemptError> {
    fn is_success(&self) -> bool {
        self.as_ref().is_ok_and(|it| !it.head.status.is_server_error())
    }

    fn is_from_endpoint(&self) -> bool {
        matches!(self, Ok(_) | Err(AttemptError::NotRun))
    }
}

/// Sends a request to one endpoint and waits for the response head.
///
/// # Errors
///
/// Returns an error that states whether the request may have run.
async fn send_once(
    gateway: &Rc<Gateway>,
    context: &Rc<RequestContext>,
    selected: Selected,
    choice: ConnectionChoice,
    last_event: Option<u64>,
) -> Result<OpenResponse, AttemptError> {
    let Selected { handle, permit, grant } = selected;
    let handle = &handle;
    let in_flight = InFlight::new(handle.clone(), context.prefix, gateway.loads.clone());
    // The process may be paused while the connection is opened, or the endpoint evacuated.
    let build = || {
        let now = gateway.now();
        let is_allowed = permit.is_usable(handle.is_cold(), now)
            && context.remaining_ms(now) > 0
            && !handle.is_evacuated();
        is_allowed.then(|| {
            context.is_sent.set(true);
            build_request(gateway, context, handle, last_event)
        })
    };
    let sent = handle.pool.send_on(choice, build).await;
    let now = gateway.now();
    let (response, mut connection) = match sent {
        Ok(sent) => sent,
        Err(SendError::Unreachable) => {
            gateway.retry_budget.borrow_mut().refund(&context.service, grant);
            reach::start_check(gateway, &context.service);
            handle.record_outcome(&gateway.settings.policy, Outcome::Unreachable, now);
            return Err(log_failure(gateway, context, handle, AttemptError::Unsent, "unreachable"));
        }
        Err(SendError::Expired) => {
            gateway.retry_budget.borrow_mut().refund(&context.service, grant);
            return Err(log_failure(gateway, context, handle, AttemptError::Unsent, "expired"));
        }
        Err(SendError::ConnectionLost { idle_ms, io }) => {
            reach::start_check(gateway, &context.service);
            handle.record_outcome(&gateway.settings.policy, Outcome::Failed, now);
            handle.speed.record_broken(now);
            quarantine::check_for_crash(gateway, context, handle, None);
            let cause = format!("connection broken, idle_ms={idle_ms:?}, io={io:?}");
            return Err(log_failure(gateway, context, handle, AttemptError::Unknown, &cause));
        }
    };
    let (head, body) = response.into_parts();
    let metadata = gateway.dialect.decode_response(&head);
    if !is_own_response(context, &connection, &metadata) {
        handle.record_outcome(&gateway.settings.policy, Outcome::Failed, now);
        handle.speed.record_broken(now);
        let cause = match metadata.attempt_id {
            Some(_) => "wrong attempt id",
            None => "no attempt id",
        };
        return Err(log_failure(gateway, context, handle, AttemptError::Unknown, cause));
    }
    if let Some(load) = metadata.load {
        handle.load.record(load, now);
    }
    if let Some(multiple) = metadata.slowness {
        handle.speed.record_slowness(Slowness::new(multiple), now);
    }
    handle.record_notices(&metadata, now);
    permits::record_limits(gateway, handle, &metadata);
    connection.set_idle_timeout(metadata.idle_timeout_ms);
    if metadata.misdirected {
        let cause = if is_from_another(context, handle, &metadata) {
            handle.record_misdirection(now);
            "wrong endpoint"
        } else {
            "wrong version of the weights"
        };
        return Err(log_failure(gateway, context, handle, AttemptError::NotRun, cause));
    }
    if metadata.not_run {
        permit.mark_refused();
        // An endpoint at its rate limit is not expected to refuse other requests.
        if metadata.rate_limit.is_none() {
            handle.record_outcome(&gateway.settings.policy, Outcome::Refused, now);
        }
        return Err(log_failure(gateway, context, handle, AttemptError::NotRun, "refused"));
    }
    if head.status.is_success() && !metadata.sealed {
        handle.record_outcome(&gateway.settings.policy, Outcome::Failed, now);
        handle.speed.record_broken(now);
        return Err(log_failure(gateway, context, handle, AttemptError::Unknown, "missing seal"));
    }
    if metadata.load.is_none() && head.status.is_success() {
        handle.speed.record_response(now.since(in_flight.started()), now);
    }
    let framing = Framing::of(&head.headers);
    Ok(OpenResponse { in_flight, permit, received: now, connection, head, metadata, framing, body })
}

/// Returns whether a response is that of the attempt.
///
/// A copy of an earlier response, also of a refusal, may arrive late, on a connection that is in
/// use again. That a request has not run is believed only with its ID.
fn is_own_response(
    context: &RequestContext,
    connection: &Connection,
    metadata: &ResponseMetadata,
) -> bool {
    match &metadata.attempt_id {
        Some(id) => *id == context.metadata.attempt_id,
        None => !connection.is_reused() && !metadata.not_run,
    }
}

/// Returns whether a rejected request has reached another endpoint than `handle`.
///
/// An endpoint also rejects requests that name another version of the weights than its own.
/// Without the identifier of the endpoint that responds, such a request says nothing about the
/// address.
fn is_from_another(
    context: &RequestContext,
    handle: &EndpointHandle,
    metadata: &ResponseMetadata,
) -> bool {
    match &metadata.endpoint {
        Some(id) => *id != handle.id(),
        None => !context.metadata.names_version,
    }
}

fn build_request(
    gateway: &Gateway,
    context: &RequestContext,
    handle: &EndpointHandle,
    last_event: Option<u64>,
) -> Request<Full<Bytes>> {
    let fetch_from = selection::fetch_source(gateway, context, handle);
    let metadata = ForwardMetadata {
        deadline_ms: context.remaining_ms(gateway.now()),
        endpoint: handle.id(),
        workspace: context.authorized.workspace.clone(),
        priority: context.prefix.is_some().then_some(context.authorized.priority),
        last_event,
        fetch_from,
    };
    // What the client names must not remove what is set here.
    let mut client = context.head.headers.clone();
    strip_hop_by_hop_headers(&mut client, &*gateway.dialect);
    let headers = gateway.dialect.encode_forward(client, &metadata);
    let mut request = Request::new(Full::new(context.body.bytes().clone()));
    *request.method_mut() = context.head.method.clone();
    *request.uri_mut() = origin_form(&context.head.uri);
    *request.version_mut() = Version::HTTP_11;
    *request.headers_mut() = headers;
    request
}

/// Returns the path and query of a URI, which is the form of request target
/// that origin servers expect.
fn origin_form(uri: &hyper::Uri) -> hyper::Uri {
    match uri.path_and_query() {
        Some(path) => hyper::Uri::from(path.clone()),
        None => uri.clone(),
    }
}

/// Logs an attempt that was given up since its endpoint was silent.
pub(crate) fn log_silence(
    gateway: &Gateway,
    context: &RequestContext,
    handle: &EndpointHandle,
) -> AttemptError {
    log_failure(gateway, context, handle, AttemptError::Silent, "timed out")
}

/// Logs a failed attempt and returns its error.
pub(crate) fn log_failure(
    gateway: &Gateway,
    context: &RequestContext,
    handle: &EndpointHandle,
    error: AttemptError,
    cause: &str,
) -> AttemptError {
    gateway.metrics.failed_attempts.with_label_values(&[error.metric_label()]).inc();
    spdlog::info!(
        "attempt: id={} endpoint={} outcome={error:?} cause={cause:?} elapsed_ms={}",
        context.metadata.attempt_id,
        handle.id(),
        gateway.now().since(context.arrived)
    );
    error
}
