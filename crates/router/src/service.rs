//! Idempotent calls to plain services, and what all service calls share.

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
    answer::refuse,
    node::{Node, preset},
    request::Ask,
};

/// Largest answer of a service, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// A whole answer of a service.
#[derive(Debug, Clone)]
pub(crate) struct ServiceAnswer {
    /// HTTP status.
    pub(crate) status: u16,
    /// Body.
    pub(crate) body: Bytes,
}

/// Why a service gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ServiceError {
    /// The service did not run the request.
    NotRun,
    /// The service may have run the request.
    Unknown,
}

/// Calls a service, retrying at another one where the workspace's budget allows.
pub(crate) async fn answer(node: &Rc<Node>, ask: &Rc<Ask>) -> Response<ReplyBody> {
    let mut last = Code::NoEndpoint;
    for service in rank(node, ask) {
        let left = ask.time_left(node.now());
        if left == 0 {
            return refuse(node, Code::DeadlinePassed);
        }
        log_route(node, ask, service);
        let limit = Duration::from_millis(left.min(preset(&ask.active).progress_ms));
        let error = match call_pooled(node, ask, service, limit).await {
            Ok(answer) => return reply(answer.status, answer.body),
            Err(error) => error,
        };
        last = match error {
            ServiceError::NotRun => Code::EndpointRefused,
            ServiceError::Unknown => Code::AnswerBroken,
        };
        if !node.cores.borrow_mut().retry_budget.take(&ask.workspace) {
            break;
        }
        node.metrics.retries.inc();
    }
    refuse(node, last)
}

async fn call_pooled(
    node: &Rc<Node>,
    ask: &Ask,
    service: EndpointId,
    limit: Duration,
) -> Result<ServiceAnswer, ServiceError> {
    let addr = address(node, service).ok_or(ServiceError::NotRun)?;
    let connection = node.upstream.acquire(addr).await;
    let connection = connection.map_err(|err| note_not_connected(node, service, err))?;
    call(ask, connection, limit).await
}

/// Notes that no connection to a service was made, which proves that it did not
/// run the request.
pub(crate) fn note_not_connected(node: &Node, service: EndpointId, err: PoolError) -> ServiceError {
    if let Some(endpoint) = node.cores.borrow_mut().endpoints.get_mut(service) {
        match err {
            PoolError::Refused => endpoint.record_refused_connection(node.now()),
            PoolError::NotConnected | PoolError::Broken => endpoint.record_failure(node.now()),
        }
    }
    ServiceError::NotRun
}

/// Returns a service's address.
pub(crate) fn address(node: &Node, service: EndpointId) -> Option<std::net::SocketAddr> {
    node.cores.borrow().endpoints.get(service).map(|it| it.info.addr)
}

/// Sends a request to a service and reads its whole answer.
pub(crate) async fn call(
    ask: &Ask,
    mut connection: Connection,
    limit: Duration,
) -> Result<ServiceAnswer, ServiceError> {
    let mut request = Request::post("/run")
        .header(HOST, "service")
        .header("x-request-id", &*ask.run_id)
        .header("x-workspace", &*ask.workspace);
    if let Some(key) = &ask.key {
        request = request.header("idempotency-key", &**key);
    }
    let request = request.body(Full::new(ask.body.clone())).map_err(|_| ServiceError::NotRun)?;
    let exchange = async {
        let response = connection.send(request, limit).await.map_err(|_| ServiceError::Unknown)?;
        read(response, &ask.run_id).await
    };
    let answer = time::timeout(limit, exchange).await.map_err(|_| ServiceError::Unknown)??;
    connection.recycle();
    Ok(answer)
}

async fn read(response: Response<Incoming>, run_id: &str) -> Result<ServiceAnswer, ServiceError> {
    if response.headers().contains_key("x-not-run") {
        return Err(ServiceError::NotRun);
    }
    if response.headers().get("x-request-id").is_none_or(|it| it != run_id) {
        return Err(ServiceError::Unknown);
    }
    let status = response.status().as_u16();
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
    let body = body.map_err(|_| ServiceError::Unknown)?.to_bytes();
    Ok(ServiceAnswer { status, body })
}

/// Ranks the live services for a request: those of the own data centre first,
/// then by the chat's rendezvous order, so that load spreads evenly.
pub(crate) fn rank(node: &Node, ask: &Ask) -> Vec<EndpointId> {
    let cores = node.cores.borrow();
    let key = ask.chat_key();
    let mut ranked: Vec<(bool, f64, EndpointId)> = cores
        .endpoints
        .live_services()
        .map(|(id, it)| {
            let is_near = it.info.data_centre == node.settings.data_centre;
            (is_near, rendezvous_score(key, u64::from(id.0), 1.0), id)
        })
        .collect();
    ranked.sort_by(|a, b| b.0.cmp(&a.0).then(b.1.total_cmp(&a.1)));
    ranked.into_iter().map(|(_, _, id)| id).collect()
}

/// Logs where a service call goes.
pub(crate) fn log_route(node: &Node, ask: &Ask, service: EndpointId) {
    let cores = node.cores.borrow();
    let name = cores.endpoints.get(service).map_or("unknown", |it| &it.info.name);
    info!("route: {} of {} class {} to {name}", ask.run_id, ask.workspace, ask.class_name);
}
