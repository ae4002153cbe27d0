//! HTTP interface for operators: metrics, status, head, drain and leave notices.

use std::rc::Rc;

use hyper::{Method, Request, Response, body::Incoming};
use mimosaledge_core::{Name, endpoints::EndpointId};
use mimosaledge_net::server::{self, ReplyBody, json_reply, reply};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;

use crate::{drain, node::Node, probe};

/// Status of a router, as returned by `/status`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Status {
    /// Name of the router.
    pub name: Name,
    /// Data centre.
    pub data_centre: Name,
    /// Lifecycle state, as in `charts/router.yaml`.
    pub state: String,
    /// Log offset of the accepted head.
    pub head: Option<u64>,
    /// Log offset of the active head.
    pub in_force: Option<u64>,
    /// Name of the active preset.
    pub preset: Option<String>,
    /// Error that prevents the activation of the accepted head.
    pub fault: Option<String>,
    /// Whether log records are missing, so that the head may be stale.
    pub gapped: bool,
    /// Number of open requests.
    pub open: u64,
    /// Number of finished keys whose outcome is being sent to a witness.
    pub handing_over: usize,
    /// Number of live routers, this one included.
    pub routers: usize,
    /// The known endpoints.
    pub endpoints: Vec<EndpointStatus>,
}

/// Status of an endpoint, as seen by a router.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// Name of the endpoint.
    pub name: Name,
    /// Health state, as in `charts/endpoint.yaml`.
    pub health: String,
    /// Number of requests admitted by its admission home and not yet released.
    pub admitted: u32,
    /// Load reported by the endpoint.
    pub reported: u32,
}

/// Serves operator requests until it is dropped.
pub(crate) async fn serve(node: Rc<Node>, listener: TcpListener) {
    server::serve(listener, move |request| handle(Rc::clone(&node), request)).await;
}

async fn handle(node: Rc<Node>, request: Request<Incoming>) -> Response<ReplyBody> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/metrics") => metrics(&node),
        (&Method::GET, "/status") => json_reply(&status(&node)),
        (&Method::GET, "/head") => json_reply(&node.state.borrow().head_replica),
        (&Method::POST, "/drain") => {
            drain::begin(&node);
            reply(200, "")
        }
        (&Method::POST, "/leave") => {
            handle_leave_notice(&node, request.uri().query().unwrap_or(""))
        }
        _ => reply(404, "unknown path"),
    }
}

fn metrics(node: &Node) -> Response<ReplyBody> {
    let meters = [("platform", &node.platform_meter), ("probe", &node.probe_meter)];
    for (kind, meter) in meters {
        let sent = node.metrics.sent.with_label_values(&[kind]);
        sent.inc_by(meter.sent().saturating_sub(sent.get()));
        let received = node.metrics.received.with_label_values(&[kind]);
        received.inc_by(meter.received().saturating_sub(received.get()));
    }
    reply(200, node.metrics.to_text())
}

/// Handles a notice that the endpoint named in the query is shutting down.
fn handle_leave_notice(node: &Node, query: &str) -> Response<ReplyBody> {
    let Some(name) = query.strip_prefix("endpoint=") else {
        return reply(400, "endpoint missing");
    };
    let id = EndpointId::from_name(name);
    let known = match node.state.borrow_mut().endpoints.get_mut(id) {
        Some(endpoint) => {
            let incarnation = endpoint.report.incarnation;
            endpoint.record_leave_notice(incarnation);
            true
        }
        None => false,
    };
    if !known {
        return reply(404, "unknown endpoint");
    }
    probe::announce_leaving(node, id);
    reply(200, "")
}

fn status(node: &Node) -> Status {
    let state = node.state.borrow();
    let active = state.config_state.active();
    let endpoints = state.endpoints.iter().map(|(_, it)| EndpointStatus {
        name: it.info.name.clone(),
        health: it.health().to_owned(),
        admitted: it.admitted,
        reported: it.report.load,
    });
    Status {
        name: node.settings.name.clone(),
        data_centre: node.settings.data_centre.clone(),
        state: state.lifecycle.state().to_owned(),
        head: state.head_replica.head_offset(),
        in_force: active.map(|it| it.offset),
        preset: active.map(|it| it.preset.to_string()),
        fault: state
            .config_state
            .activation_error()
            .map(|(offset, err)| format!("head {offset}: {err}")),
        gapped: state.head_replica.gapped,
        open: node.open_requests.get(),
        handing_over: node.finish_acks.len(),
        routers: state.members.alive(node.now()).count(),
        endpoints: endpoints.collect(),
    }
}
