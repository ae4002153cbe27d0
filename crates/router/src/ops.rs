//! The operators' port: metrics, status, head transfer, drain and notices.

use std::rc::Rc;

use hyper::{Method, Request, Response, body::Incoming};
use mimosaledge_core::{Name, endpoints::EndpointId};
use mimosaledge_net::server::{self, ReplyBody, json_reply, reply};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;

use crate::{drain, node::Node, probe};

/// What a router says of itself to operators.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Status {
    /// Name of the router.
    pub name: Name,
    /// Data centre.
    pub data_centre: Name,
    /// Place in the router's life, as in its state chart.
    pub state: String,
    /// Offset of the accepted head.
    pub head: Option<u64>,
    /// Offset of the head in force.
    pub in_force: Option<u64>,
    /// Preset in force.
    pub preset: Option<String>,
    /// Why the accepted head is not in force.
    pub fault: Option<String>,
    /// Whether the router may lack newer heads.
    pub gapped: bool,
    /// Open requests.
    pub open: u64,
    /// Finished keys whose outcome is being handed over to a witness.
    pub handing_over: usize,
    /// Live routers that the router knows, itself included.
    pub routers: usize,
    /// Endpoints that the router knows.
    pub endpoints: Vec<EndpointStatus>,
}

/// What a router says of an endpoint.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// Name of the endpoint.
    pub name: Name,
    /// Health, as in the endpoint's state chart.
    pub health: String,
    /// Load that its admission home has let in.
    pub admitted: u32,
    /// Load that it reports.
    pub reported: u32,
}

/// Serves operators until it is dropped.
pub(crate) async fn serve(node: Rc<Node>, listener: TcpListener) {
    server::serve(listener, move |request| handle(Rc::clone(&node), request)).await;
}

async fn handle(node: Rc<Node>, request: Request<Incoming>) -> Response<ReplyBody> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/metrics") => metrics(&node),
        (&Method::GET, "/status") => json_reply(&status(&node)),
        (&Method::GET, "/head") => json_reply(&node.cores.borrow().fold),
        (&Method::POST, "/drain") => {
            drain::begin(&node);
            reply(200, "")
        }
        (&Method::POST, "/leave") => leave(&node, request.uri().query().unwrap_or("")),
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

/// Takes a leave notice for the endpoint named in the query.
fn leave(node: &Node, query: &str) -> Response<ReplyBody> {
    let Some(name) = query.strip_prefix("endpoint=") else {
        return reply(400, "endpoint missing");
    };
    let id = EndpointId::from_name(name);
    let known = match node.cores.borrow_mut().endpoints.get_mut(id) {
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
    let cores = node.cores.borrow();
    let current = cores.in_force.active();
    let endpoints = cores.endpoints.iter().map(|(_, it)| EndpointStatus {
        name: it.info.name.clone(),
        health: it.health().to_owned(),
        admitted: it.admitted,
        reported: it.report.load,
    });
    Status {
        name: node.settings.name.clone(),
        data_centre: node.settings.data_centre.clone(),
        state: cores.life.state().to_owned(),
        head: cores.fold.head_offset(),
        in_force: current.map(|it| it.offset),
        preset: current.map(|it| it.preset.to_string()),
        fault: cores
            .in_force
            .activation_error()
            .map(|(offset, err)| format!("head {offset}: {err}")),
        gapped: cores.fold.gapped,
        open: node.open_requests.get(),
        handing_over: node.finishes.len(),
        routers: cores.members.alive(node.now()).count(),
        endpoints: endpoints.collect(),
    }
}
