//! A request that runs on an engine.

use std::{rc::Rc, time::Duration};

use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, header::HOST};
use mimosaledge_core::endpoints::{EndpointId, LoadReport};
use mimosaledge_net::{
    http::Call,
    pool::{Connection, PoolError},
};

use crate::{
    admission::AdmissionPermit,
    crashes::{self, InFlightGuard},
    node::{Node, preset},
    request::CallerRequest,
    token_reader::TokenReader,
};

/// Longest wait for an engine that is asked whether it is alive.
const ALIVE_LIMIT: Duration = Duration::from_millis(100);

/// A request that runs on an engine.
pub(crate) struct Run {
    /// The engine.
    pub(crate) engine: EndpointId,
    /// The engine's incarnation when the request was sent.
    pub(crate) incarnation: u32,
    /// The answer.
    pub(crate) reader: TokenReader,
    /// The connection; it goes back to the pool after a whole answer.
    pub(crate) connection: Connection,
    _admission: Option<AdmissionPermit>,
    _open: InFlightGuard,
}

/// Why a request did not start on the engine that let it in.
pub(crate) enum OpenError {
    /// The engine did not run the request.
    NotRun,
    /// The engine may have begun the request.
    Broken {
        /// Whether the engine's process has died.
        died: bool,
    },
}

impl Run {
    /// Sends a request to the engine that let it in.
    ///
    /// The answer starts at piece `from`.
    pub(crate) async fn open(
        node: &Rc<Node>,
        ask: &CallerRequest,
        engine: EndpointId,
        admission: Option<AdmissionPermit>,
        from: u32,
    ) -> Result<Run, OpenError> {
        let Some((addr, incarnation)) = node
            .cores
            .borrow()
            .endpoints
            .get(engine)
            .map(|it| (it.info.addr, it.report.incarnation))
        else {
            return Err(OpenError::NotRun);
        };
        // A resumed request must not meet the connection that has just failed.
        let connection = if from == 0 {
            node.upstream.acquire(addr).await
        } else {
            node.upstream.connect(addr).await
        };
        let mut connection = match connection {
            Ok(connection) => connection,
            Err(err) => {
                note_not_connected(node, engine, incarnation, err);
                return Err(OpenError::NotRun);
            }
        };
        // Only what was sent to an engine is blamed for its death.
        let open = node.in_flight.add(engine, ask.fingerprint);
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
        let reader = TokenReader::new(response.into_body(), ask.run_id.clone(), from);
        Ok(Run { engine, incarnation, reader, connection, _admission: admission, _open: open })
    }
}

/// Returns whether an answer is a success of the request itself.
fn is_own(response: &Response<Incoming>, run_id: &str) -> bool {
    let echoed = response.headers().get("x-request-id").is_some_and(|it| it == run_id);
    response.status() == 200 && echoed
}

fn note_not_connected(node: &Rc<Node>, engine: EndpointId, incarnation: u32, err: PoolError) {
    // Only a refused connection proves that the process is gone.
    if err == PoolError::Refused {
        note_death(node, engine, incarnation);
    } else if let Some(endpoint) = node.cores.borrow_mut().endpoints.get_mut(engine) {
        endpoint.record_failure(node.now());
    }
}

fn note_death(node: &Rc<Node>, engine: EndpointId, incarnation: u32) {
    crashes::report_crash(node, engine, incarnation);
    if let Some(endpoint) = node.cores.borrow_mut().endpoints.get_mut(engine) {
        endpoint.record_refused_connection(node.now());
    }
}

/// Finds out whether the engine process that broke a connection has died, and
/// blames the requests that were open at it if so.
pub(crate) async fn check_alive(node: &Rc<Node>, engine: EndpointId, incarnation: u32) -> bool {
    let Some(addr) = node.cores.borrow().endpoints.get(engine).map(|it| it.info.addr) else {
        return false;
    };
    let answer = Call::get(addr, "/load").timeout(ALIVE_LIMIT).meter(&node.probe_meter);
    let died = match answer.send_ok().await {
        Ok(body) => serde_json::from_slice::<LoadReport>(&body)
            .is_ok_and(|report| report.incarnation != incarnation),
        Err(err) => err.is_connection_refused(),
    };
    if died {
        note_death(node, engine, incarnation);
    }
    died
}
