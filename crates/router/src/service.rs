//! Idempotent requests to services, and the functions that all requests to services
//! share.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, Response, body::Incoming, header::HOST};
use mimosaledge_core::{Code, endpoints::EndpointId, hash::rendezvous_score};
use mimosaledge_net::{
    pool::{Connection, PoolError},
    server::{ReplyBody, reply},
};
use spdlog::info;
use tokio::time;

use crate::{
    attempt::Attempt,
    node::Node,
    request::ClientRequest,
    response::error_response,
    silence::{Waited, wait},
    start::try_acquire_retry,
};

/// Maximum size of a response body from a service, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// A complete response from a service.
#[derive(Debug, Clone)]
pub(crate) struct ServiceResponse {
    /// HTTP status.
    pub(crate) status: u16,
    /// Body.
    pub(crate) body: Bytes,
}

/// The reason that a service returned no usable response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ServiceError {
    /// The service did not run the request.
    NotRun,
    /// The service may have run the request.
    MayHaveRun,
}

/// Handles an idempotent request, with retries on other services while the
/// workspace's retry budget allows them.
pub(crate) async fn handle(node: &Rc<Node>, request: &Rc<ClientRequest>) -> Response<ReplyBody> {
    let mut last_code = Code::NoEndpoint;
    let mut tried = Vec::new();
    let mut attempt = start_next(node, request, &mut tried);
    while let Some(current) = attempt {
        let sent = tried.len();
        let search = async || {
            let is_left = next_service(node, request, &tried).is_some();
            if is_left && try_acquire_retry(node, request) {
                start_next(node, request, &mut tried)
            } else {
                None
            }
        };
        let error = match wait(node, request, current.response, search).await {
            Waited::Received(Ok(response), _) | Waited::Replaced(response) => {
                return reply(response.status, response.body);
            }
            Waited::Expired => return error_response(node, Code::DeadlinePassed),
            Waited::Received(Err(error), replacement) => {
                attempt = replacement;
                error
            }
        };
        if request.time_left(node.now()) == 0 {
            return error_response(node, Code::DeadlinePassed);
        }
        // A replacement may have run, whatever the silent service has sent.
        let may_have_run = error == ServiceError::MayHaveRun || tried.len() > sent;
        last_code = match may_have_run || last_code == Code::AnswerBroken {
            true => Code::AnswerBroken,
            false => Code::EndpointRefused,
        };
        if attempt.is_none() && try_acquire_retry(node, request) {
            attempt = start_next(node, request, &mut tried);
        }
    }
    error_response(node, last_code)
}

/// Returns the first service that is not in `tried`.
fn next_service(node: &Node, request: &ClientRequest, tried: &[EndpointId]) -> Option<EndpointId> {
    rank(node, request).into_iter().find(|it| !tried.contains(it))
}

/// Sends a request to the first service that is not in `tried`.
fn start_next(
    node: &Rc<Node>,
    request: &Rc<ClientRequest>,
    tried: &mut Vec<EndpointId>,
) -> Option<Attempt<ServiceResponse, ServiceError>> {
    let service = next_service(node, request, tried)?;
    tried.push(service);
    log_route(node, request, service);
    let (node, request) = (Rc::clone(node), Rc::clone(request));
    Some(Attempt::new(service, async move { call_pooled(&node, &request, service).await }))
}

async fn call_pooled(
    node: &Rc<Node>,
    request: &ClientRequest,
    service: EndpointId,
) -> Result<ServiceResponse, ServiceError> {
    let timeout = Duration::from_millis(request.time_left(node.now()));
    let addr = address(node, service).ok_or(ServiceError::NotRun)?;
    let connection = node.upstream.acquire(addr).await;
    let connection = connection.map_err(|err| record_connect_failure(node, service, err))?;
    call(request, connection, timeout).await
}

/// Records a failure to connect to a service, which proves that the service did not
/// run the request.
pub(crate) fn record_connect_failure(
    node: &Node,
    service: EndpointId,
    err: PoolError,
) -> ServiceError {
    if let Some(endpoint) = node.state.borrow_mut().endpoints.get_mut(service) {
        match err {
            PoolError::Refused => endpoint.record_refused_connection(node.now()),
            PoolError::NotConnected | PoolError::Broken => endpoint.record_failure(node.now()),
        }
    }
    ServiceError::NotRun
}

/// Returns a service's address, or `None` if the service is unknown.
pub(crate) fn address(node: &Node, service: EndpointId) -> Option<std::net::SocketAddr> {
    node.state.borrow().endpoints.get(service).map(|it| it.info.addr)
}

/// Sends a request to a service and reads the complete response.
pub(crate) async fn call(
    request: &ClientRequest,
    mut connection: Connection,
    timeout: Duration,
) -> Result<ServiceResponse, ServiceError> {
    let mut http_request = Request::post("/run")
        .header(HOST, "service")
        .header("x-request-id", &*request.run_id)
        .header("x-workspace", &*request.workspace);
    if let Some(key) = &request.key {
        http_request = http_request.header("idempotency-key", &**key);
    }
    let http_request =
        http_request.body(Full::new(request.body.clone())).map_err(|_| ServiceError::NotRun)?;
    let exchange = async {
        let response =
            connection.send(http_request, timeout).await.map_err(|_| ServiceError::MayHaveRun)?;
        read_response(response, &request.run_id).await
    };
    let response =
        time::timeout(timeout, exchange).await.map_err(|_| ServiceError::MayHaveRun)??;
    connection.recycle();
    Ok(response)
}

async fn read_response(
    response: Response<Incoming>,
    run_id: &str,
) -> Result<ServiceResponse, ServiceError> {
    if response.headers().contains_key("x-not-run") {
        return Err(ServiceError::NotRun);
    }
    if response.headers().get("x-request-id").is_none_or(|it| it != run_id) {
        return Err(ServiceError::MayHaveRun);
    }
    let status = response.status().as_u16();
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
    let body = body.map_err(|_| ServiceError::MayHaveRun)?.to_bytes();
    Ok(ServiceResponse { status, body })
}

/// Ranks the live services for a request: those in this router's data centre
/// first, and within each group by rendezvous hashing of the chat, so that load
/// spreads evenly.
pub(crate) fn rank(node: &Node, request: &ClientRequest) -> Vec<EndpointId> {
    let state = node.state.borrow();
    let chat_hash = request.chat_hash();
    let mut ranked: Vec<(bool, f64, EndpointId)> = state
        .endpoints
        .live_services()
        .map(|(id, it)| {
            let is_local = it.info.data_centre == node.settings.data_centre;
            (is_local, rendezvous_score(chat_hash, u64::from(id.0), 1.0), id)
        })
        .collect();
    ranked.sort_by(|a, b| b.0.cmp(&a.0).then(b.1.total_cmp(&a.1)));
    ranked.into_iter().map(|(_, _, id)| id).collect()
}

/// Logs the service selected for a request.
pub(crate) fn log_route(node: &Node, request: &ClientRequest, service: EndpointId) {
    let state = node.state.borrow();
    let name = state.endpoints.get(service).map_or("unknown", |it| &it.info.name);
    info!(
        "route: {} of {} class {} to {name}",
        request.run_id, request.workspace, request.class_name
    );
}
