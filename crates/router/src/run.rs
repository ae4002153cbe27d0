//! A request in flight on an engine.

use std::{rc::Rc, time::Duration};

use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, header::HOST};
use mimosaledge_core::endpoints::{EndpointId, LoadReport};
use mimosaledge_net::{
    http::Call,
    pool::{Connection, PoolError},
};
use tokio::time;

use crate::{
    admission::AdmissionPermit,
    crashes::{self, InFlightGuard},
    node::Node,
    request::ClientRequest,
    silence::{self, SEARCH_INTERVAL},
    token_reader::TokenReader,
};

/// Timeout of the call that checks whether an engine has crashed.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(100);

/// A request in flight on an engine.
pub(crate) struct Run {
    /// The engine.
    pub(crate) engine: EndpointId,
    /// Incarnation of the engine when the request was sent.
    pub(crate) incarnation: u32,
    /// Reader of the streamed response.
    pub(crate) reader: TokenReader,
    /// The connection, which is returned to the pool after a complete response.
    pub(crate) connection: Connection,
    _permit: Option<AdmissionPermit>,
    _in_flight: InFlightGuard,
}

/// Why an engine returned no response stream for a request.
pub(crate) enum OpenError {
    /// The engine did not run the request.
    NotRun,
    /// The engine may have run the request.
    MayHaveRun {
        /// Whether the engine's process has crashed.
        crashed: bool,
    },
}

impl Run {
    /// Sends a request to an engine and waits until the deadline for the response to
    /// begin.
    ///
    /// The response starts at token `first_token`.
    pub(crate) async fn open(
        node: &Rc<Node>,
        request: &ClientRequest,
        engine: EndpointId,
        permit: Option<AdmissionPermit>,
        first_token: u32,
    ) -> Result<Run, OpenError> {
        let Some((addr, incarnation)) = node
            .state
            .borrow()
            .endpoints
            .get(engine)
            .map(|it| (it.info.addr, it.report.incarnation))
        else {
            return Err(OpenError::NotRun);
        };
        // A resumed request opens a new connection, because the pool may still hold
        // the one that has just failed.
        let connection = if first_token == 0 {
            node.upstream.acquire(addr).await
        } else {
            node.upstream.connect(addr).await
        };
        let mut connection = match connection {
            Ok(connection) => connection,
            Err(err) => {
                record_connect_failure(node, engine, incarnation, err);
                return Err(OpenError::NotRun);
            }
        };
        // Counted from here on, so that a crash is attributed only to requests that
        // were sent to the engine.
        let in_flight = node.in_flight.add(engine, request.fingerprint);
        let http_request = Request::post("/generate")
            .header(HOST, addr.to_string())
            .header("x-request-id", &*request.run_id)
            .header("x-priority", u16::from(request.class.priority))
            .header("x-resume-from", first_token)
            .body(Full::new(request.body.clone()))
            .map_err(|_| OpenError::NotRun)?;
        let timeout = Duration::from_millis(request.time_left(node.now()));
        let result = tokio::select! {
            biased;
            result = connection.send(http_request, timeout) => Some(result),
            () = wait_for_crash(node, request, engine, incarnation) => None,
        };
        let response = match result {
            Some(Ok(response)) if response.headers().contains_key("x-not-run") => {
                return Err(OpenError::NotRun);
            }
            Some(Ok(response)) if is_matching_success(&response, &request.run_id) => response,
            _ => {
                let crashed = detect_crash(node, engine, incarnation).await;
                drop(in_flight);
                return Err(OpenError::MayHaveRun { crashed });
            }
        };
        let reader = TokenReader::new(response.into_body(), request.run_id.clone(), first_token);
        Ok(Run { engine, incarnation, reader, connection, _permit: permit, _in_flight: in_flight })
    }
}

/// Returns whether a response succeeded and belongs to the request.
fn is_matching_success(response: &Response<Incoming>, run_id: &str) -> bool {
    let echoed = response.headers().get("x-request-id").is_some_and(|it| it == run_id);
    response.status() == 200 && echoed
}

fn record_connect_failure(node: &Rc<Node>, engine: EndpointId, incarnation: u32, err: PoolError) {
    // Only a refused connection proves that the process has exited.
    if err == PoolError::Refused {
        record_crash(node, engine, incarnation);
    } else if let Some(endpoint) = node.state.borrow_mut().endpoints.get_mut(engine) {
        endpoint.record_failure(node.now());
    }
}

fn record_crash(node: &Rc<Node>, engine: EndpointId, incarnation: u32) {
    crashes::report_crash(node, engine, incarnation);
    if let Some(endpoint) = node.state.borrow_mut().endpoints.get_mut(engine) {
        endpoint.record_refused_connection(node.now());
    }
}

/// Waits until an engine that has been silent is known to have crashed.
pub(crate) async fn wait_for_crash(
    node: &Rc<Node>,
    request: &ClientRequest,
    engine: EndpointId,
    incarnation: u32,
) {
    time::sleep(silence::patience(request)).await;
    while !detect_crash(node, engine, incarnation).await {
        time::sleep(SEARCH_INTERVAL).await;
        // The engine is asked again only when its probes show another process.
        while !has_other_incarnation(node, engine, incarnation) {
            time::sleep(SEARCH_INTERVAL).await;
        }
    }
}

fn has_other_incarnation(node: &Node, engine: EndpointId, incarnation: u32) -> bool {
    let state = node.state.borrow();
    state.endpoints.get(engine).is_some_and(|it| it.report.incarnation != incarnation)
}

/// Returns whether the engine process behind a broken connection has crashed; if
/// so, reports the requests that were in flight.
///
/// A refused connection or another incarnation proves a crash.
pub(crate) async fn detect_crash(node: &Rc<Node>, engine: EndpointId, incarnation: u32) -> bool {
    let Some(addr) = node.state.borrow().endpoints.get(engine).map(|it| it.info.addr) else {
        return false;
    };
    let call = Call::get(addr, "/load").timeout(LIVENESS_TIMEOUT).meter(&node.probe_meter);
    let crashed = match call.send_ok().await {
        Ok(body) => serde_json::from_slice::<LoadReport>(&body)
            .is_ok_and(|report| report.incarnation != incarnation),
        Err(err) => err.is_connection_refused(),
    };
    if crashed {
        record_crash(node, engine, incarnation);
    }
    crashed
}
