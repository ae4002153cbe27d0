//! Handles a client's request: checks it against the configuration, reads its
//! body, selects its service and obtains a response.

use std::{cell::Cell, rc::Rc, time::Duration};

use hyper::{
    Request, Response,
    body::Incoming,
    header::{HOST, HeaderName, HeaderValue},
    http::request::Parts,
};
use mimosaledge_core::{
    Millis, Name,
    hash::{hash64, rendezvous_score},
};
use mimosaledge_net::server::ReplyBody;
use mimosaledge_policy::{
    RetryPolicy,
    byte_budget::Stage,
    config::{AuthorizedRequest, Denial},
};
use tokio::time::timeout;

use crate::{
    attempts,
    body_buffer::{self, BodyError, HeldBody},
    client_memory::{ClientMemory, Grant},
    dialect::{PromptPart, RequestMetadata},
    eligibility,
    error_response::{Code, ErrorResponse},
    fairness, forward,
    gateway::Gateway,
    handover::Handover,
    origins,
    request_context::RequestContext,
};

/// Retry delay for clients while the gateway has no configuration, an outdated
/// one, or no service for the route, in milliseconds.
const CONFIG_RETRY_MS: u64 = 300;
/// Memory that an endpoint's connection takes while a request is served, in bytes.
const WORK_BYTES: usize = 32 << 10;
/// Memory that each part of a prompt takes beside the head, in bytes.
const PART_BYTES: usize = 32;

/// Who has sent a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Source {
    /// A client.
    Client,
    /// Another gateway, which hands a client's request over.
    Gateway,
}

/// Logs a request that is dropped before it has a response.
struct CancelLog {
    gateway: Rc<Gateway>,
    attempt_id: Name,
    source: Source,
    arrived: Millis,
    finished: bool,
}

impl Drop for CancelLog {
    fn drop(&mut self) {
        if !self.finished {
            spdlog::info!(
                "request: id={} outcome=cancelled cause={:?} forwarded={} config={} elapsed_ms={}",
                self.attempt_id,
                self.gateway.drain.cancel_cause(),
                self.source == Source::Gateway,
                self.gateway.config_version(),
                self.gateway.now().since(self.arrived)
            );
        }
    }
}

/// Returns the response to one request; every failure becomes an error
/// response.
pub(crate) async fn serve(
    gateway: &Rc<Gateway>,
    incoming: Request<Incoming>,
    source: Source,
    client: &Rc<ClientMemory>,
) -> Response<ReplyBody> {
    let arrived = gateway.now();
    client.set_stage(Stage::Receiving);
    let (mut head, body) = incoming.into_parts();
    let mut metadata = gateway.dialect.decode_request(&head);
    // A client may send these headers, too, but says nothing by them.
    let handover = Handover::take_from(&mut head.headers);
    let handover = (source == Source::Gateway).then_some(handover);
    if let Some(deadline_ms) = handover.and_then(|it| it.deadline_ms) {
        metadata.deadline_ms = Some(deadline_ms);
    }
    let attempt_id = metadata.attempt_id.clone();
    let mut cancel_log = CancelLog {
        gateway: gateway.clone(),
        attempt_id: attempt_id.clone(),
        source,
        arrived,
        finished: false,
    };
    let reaches_none = |it: &RequestContext| eligibility::reach(gateway, it).is_cut_off();
    let (mut is_cut_off, mut has_lost) = (false, false);
    let mut workspace = None;
    let prepared = tokio::select! {
        prepared = prepare(gateway, client, head, metadata, body, arrived, handover) => prepared,
        () = gateway.drain.wait_for_answering() => Err(attempts::stopping_error(&attempt_id)),
    };
    let result = match prepared {
        Ok(context) => {
            let context = Rc::new(context);
            workspace = context.authorized.workspace.clone();
            is_cut_off = reaches_none(&context);
            let result = run_until_stopped(gateway, context.clone()).await;
            has_lost = reaches_none(&context);
            result
        }
        Err(error) => Err(error),
    };
    cancel_log.finished = true;
    let response = result.unwrap_or_else(|error| {
        spdlog::info!(
            "request: id={attempt_id} refused={:?} status={} retry_ms={:?} \
             cut_off={is_cut_off} forwarded={} config={} config_age_ms={} elapsed_ms={} \
             workspace={}",
            error.code,
            error.status(),
            error.retry_ms,
            source == Source::Gateway,
            gateway.config_version(),
            gateway.config_age_ms(),
            gateway.now().since(arrived),
            workspace.as_deref().unwrap_or_default()
        );
        let mut response = error.to_response(&*gateway.dialect, &attempt_id);
        if source == Source::Gateway && error.code == Code::NoEndpoint && has_lost {
            let headers = response.headers_mut();
            headers.insert(forward::NO_ENDPOINT_HEADER, HeaderValue::from_static("1"));
        }
        response
    });
    gateway.metrics.requests.with_label_values(&[response.status().as_str()]).inc();
    if is_cut_off && source == Source::Client {
        gateway.metrics.cut_off_requests.with_label_values(&[response.status().as_str()]).inc();
    }
    gateway.metrics.first_byte.observe(gateway.now().since(arrived) as f64 / 1_000.0);
    response
}

/// Obtains a response from an endpoint. In a shutdown, a request that has none in time gets an
/// error response, which promises nothing if the request may have been sent.
async fn run_until_stopped(
    gateway: &Rc<Gateway>,
    context: Rc<RequestContext>,
) -> Result<Response<ReplyBody>, ErrorResponse> {
    tokio::select! {
        result = attempts::run(gateway, context.clone()) => result,
        () = gateway.drain.wait_for_answering() => Err(match context.is_sent.get() {
            true => ErrorResponse::from_code(Code::Unknown),
            false => attempts::stopping_error(&context.metadata.attempt_id),
        }),
    }
}

/// Authorizes a request, reads its body and selects its service.
async fn prepare(
    gateway: &Gateway,
    client: &Rc<ClientMemory>,
    head: Parts,
    metadata: RequestMetadata,
    body: Incoming,
    arrived: Millis,
    handover: Option<Handover>,
) -> Result<RequestContext, ErrorResponse> {
    let authorized = authorize(gateway, &head, &metadata)?;
    let timeout_ms = metadata.deadline_ms.unwrap_or(u64::MAX).min(authorized.route.timeout_ms);
    client.set_workspace(authorized.workspace.clone());
    let memory_error = || memory_error(gateway, &metadata.attempt_id);
    let memory = grant_work(client, &head, &metadata).ok_or_else(memory_error)?;
    let receiving = receive_body(gateway, client, body);
    let body = match timeout(Duration::from_millis(timeout_ms), receiving).await {
        Ok(Ok(body)) => body,
        Ok(Err(BodyError::TooLarge)) => return Err(ErrorResponse::from_code(Code::TooLarge)),
        Ok(Err(BodyError::Truncated)) => return Err(ErrorResponse::from_code(Code::BadRequest)),
        Ok(Err(BodyError::NoMemory)) => return Err(memory_error()),
        Err(_) => return Err(ErrorResponse::from_code(Code::TooLate)),
    };
    let prefix = authorized.route.sticky.then(|| prefix_key(&metadata.prompt)).flatten();
    let key = prefix.unwrap_or_else(|| hash64(metadata.attempt_id.as_bytes()));
    // The key also determines the placement on an endpoint. It is hashed again,
    // so that the weighted choice of a service is independent of that.
    let key = rendezvous_score(key, 1, 1.0).to_bits();
    let Some(service) = authorized.route.select_service(key).cloned() else {
        return Err(ErrorResponse::with_retry_after(Code::NoEndpoint, CONFIG_RETRY_MS));
    };
    let route = &authorized.route;
    let is_resume = route.retry == RetryPolicy::Resume && metadata.last_event.is_some();
    let (service, build) = match handover.and_then(|it| it.build) {
        _ if !is_resume => (service, None),
        Some(build) => (origins::service_of_build(gateway, route, service, build), Some(build)),
        None => {
            let target = origins::find_target(gateway, route, service, &metadata).await?;
            (target.service, Some(target.build))
        }
    };
    let fingerprint = fingerprint(&head, &metadata, body.bytes());
    let shared_parts = shared_parts(&metadata.prompt);
    let size = gateway.permit_table.borrow_mut().record_size(&service, metadata.max_tokens);
    let is_return = handover.is_none() && fairness::is_return(gateway, route, &metadata);
    let deadline = arrived + timeout_ms;
    Ok(RequestContext {
        head,
        metadata,
        body,
        client: client.clone(),
        _memory: memory,
        authorized,
        service,
        build,
        prefix,
        fingerprint,
        shared_parts,
        is_forwarded: handover.is_some(),
        is_return,
        sends: handover.unwrap_or_default().sends,
        size,
        arrived,
        deadline,
        is_sent: Cell::default(),
        last_crash: Cell::default(),
    })
}

/// Returns a grant for the head of a request and for the connection to its endpoint.
fn grant_work(
    client: &Rc<ClientMemory>,
    head: &Parts,
    metadata: &RequestMetadata,
) -> Option<Grant> {
    let header_bytes =
        |(name, value): (&HeaderName, &HeaderValue)| name.as_str().len() + value.len();
    // What is sent to the endpoint is a second copy.
    let head_bytes = 2 * head.headers.iter().map(header_bytes).sum::<usize>();
    let mut grant = client.grant();
    let part_bytes = PART_BYTES * metadata.prompt.len();
    grant.grow_to(head_bytes + part_bytes + WORK_BYTES).ok()?;
    Some(grant)
}

/// Receives the body of a request, unless others need the memory and its client is slow.
///
/// # Errors
///
/// Returns an error if the body is incomplete, too large, or there is no memory for it.
async fn receive_body(
    gateway: &Gateway,
    client: &Rc<ClientMemory>,
    body: Incoming,
) -> Result<HeldBody, BodyError> {
    let limit = gateway.routes.borrow().limits().max_body_bytes;
    let record = |bytes| client.record_progress(bytes);
    let received = tokio::select! {
        received = body_buffer::receive(body, limit, client.grant(), record) => received?,
        () = client.wait_for_yield() => return Err(BodyError::NoMemory),
    };
    let has_to_yield = client.set_stage(Stage::Working);
    if has_to_yield { Err(BodyError::NoMemory) } else { Ok(received) }
}

/// Returns the error response for a request that there is no memory for.
fn memory_error(gateway: &Gateway, attempt_id: &str) -> ErrorResponse {
    let wait_ms = gateway.settings.policy.stall_ms;
    ErrorResponse::with_retry_after(Code::NoMemory, attempts::retry_after_ms(attempt_id, wait_ms))
}

/// Authorizes a request under the active configuration.
///
/// # Errors
///
/// Returns an error if there is no configuration, or if the configuration
/// denies the request; a denial under an outdated configuration is reported as
/// retryable.
fn authorize(
    gateway: &Gateway,
    head: &Parts,
    metadata: &RequestMetadata,
) -> Result<AuthorizedRequest, ErrorResponse> {
    if gateway.config_version() == 0 {
        return Err(ErrorResponse::with_retry_after(Code::NoConfig, CONFIG_RETRY_MS));
    }
    let host = head.headers.get(HOST).and_then(|it| it.to_str().ok());
    let host = host.or_else(|| head.uri.host()).unwrap_or_default();
    let routes = gateway.routes.borrow();
    routes.authorize(host, head.uri.path(), metadata.api_key.as_deref()).map_err(|denial| {
        if !gateway.is_config_fresh() {
            return ErrorResponse::with_retry_after(Code::StaleConfig, CONFIG_RETRY_MS);
        }
        match denial {
            Denial::NoRoute => ErrorResponse::from_code(Code::NoRoute),
            Denial::NoWorkspace => ErrorResponse::from_code(Code::NoWorkspace),
        }
    })
}

/// Returns a key for the longest prompt prefix that other requests may share:
/// all parts but the last, or the only part of a prompt with one part. The key
/// is the hash of the identifier of the prefix's last part.
fn prefix_key(prompt: &[PromptPart]) -> Option<u64> {
    let last_shared = match prompt.len() {
        0 => return None,
        1 => &prompt[0],
        count => &prompt[count - 2],
    };
    Some(hash64(&last_shared.id.to_le_bytes()))
}

/// Returns the identifiers of all parts but the last, which belongs to one request.
fn shared_parts(prompt: &[PromptPart]) -> Vec<u64> {
    prompt.iter().rev().skip(1).rev().map(|it| it.id).collect()
}

fn fingerprint(head: &Parts, metadata: &RequestMetadata, body: &[u8]) -> u64 {
    let key = metadata.api_key.as_deref().unwrap_or_default();
    let path = head.uri.path_and_query().map_or("", |it| it.as_str());
    hash64(format!("{path}\n{key}\n{:016x}", hash64(body)).as_bytes())
}
