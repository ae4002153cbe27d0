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
    node::{Node, preset},
    request::ClientRequest,
    response::error_response,
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
    for service in rank(node, request) {
        let time_left = request.time_left(node.now());
        if time_left == 0 {
            return error_response(node, Code::DeadlinePassed);
        }
        log_route(node, request, service);
        let timeout = Duration::from_millis(time_left.min(preset(&request.active).progress_ms));
        let error = match call_pooled(node, request, service, timeout).await {
            Ok(response) => return reply(response.status, response.body),
            Err(error) => error,
        };
        last_code = match error {
            ServiceError::NotRun => Code::EndpointRefused,
            ServiceError::MayHaveRun => Code::AnswerBroken,
        };
        if !node.state.borrow_mut().retry_budget.try_acquire(&request.workspace) {
            break;
        }
        node.metrics.retries.inc();
    }
    error_response(node, last_code)
}

async fn call_pooled(
    node: &Rc<Node>,
    request: &ClientRequest,
    service: EndpointId,
    timeout: Duration,
) -> Result<ServiceResponse, ServiceError> {
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
