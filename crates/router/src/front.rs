//! The callers' port.

use std::rc::Rc;

use hyper::{Method, Request, Response, body::Incoming};
use mimosaledge_core::{Code, config::Target, quarantine::QuarantineStatus};
use mimosaledge_net::server::{self, ReplyBody};
use spdlog::info;
use tokio::net::TcpListener;

use crate::{
    answer::{Refusal, refuse, set_code, set_header},
    generate, locate,
    node::Node,
    once, ready,
    request::Ask,
    service,
};

/// Serves callers until it is dropped.
pub(crate) async fn serve(node: Rc<Node>, listener: TcpListener) {
    server::serve(listener, move |request| handle(Rc::clone(&node), request)).await;
}

async fn handle(node: Rc<Node>, request: Request<Incoming>) -> Response<ReplyBody> {
    ready::serve_if_ready(&node);
    let response = match (request.method(), request.uri().path()) {
        (&Method::GET, "/locate") => locate::answer(&node, request.uri().query().unwrap_or("")),
        (&Method::POST, "/v1/run") if !node.accepts_requests() => turn_away(&node, &request),
        (&Method::POST, "/v1/run") => {
            let open = OpenRequest::new(&node);
            run(&node, request, open).await
        }
        _ => refuse(&node, Code::UnknownPath),
    };
    let code = response.headers().get("x-code").and_then(|it| it.to_str().ok());
    node.metrics.answers.with_label_values(&[code.unwrap_or("none")]).inc();
    response
}

/// Refuses a request that a router does not read, since it is not ready or its
/// exit could cut the answer.
fn turn_away(node: &Node, request: &Request<Incoming>) -> Response<ReplyBody> {
    let is_keyed = request.headers().contains_key("idempotency-key");
    let code = match node.phase().refusal_code(is_keyed) {
        Code::Starting if node.active().is_none() => Code::NoConfiguration,
        code => code,
    };
    refuse(node, code)
}

async fn run(
    node: &Rc<Node>,
    request: Request<Incoming>,
    open: OpenRequest,
) -> Response<ReplyBody> {
    let ask = match Ask::read(node, request).await {
        Ok(ask) => ask,
        Err(code) => return refuse_unread(node, code),
    };
    let standing = node.cores.borrow().quarantine.status(ask.fingerprint, node.now());
    if let QuarantineStatus::Refused(wait_ms) = standing {
        info!("front: {} of {} is quarantined", ask.id, ask.workspace);
        let refusal = Refusal::new(node, Code::Quarantined).retry_after(wait_ms);
        return refusal.into_response(Code::Quarantined);
    }
    let percent = crate::node::preset(&ask.active).retry_percent;
    node.cores.borrow_mut().retry_budget.credit(&ask.workspace, percent);
    let id = Rc::new(ask);
    let mut response = match (id.class.target, id.class.idempotent) {
        (Target::Engine, _) => generate::answer(node, &id, open).await,
        (Target::Service, true) => service::answer(node, &id).await,
        (Target::Service, false) => once::answer(node, &id).await,
    };
    set_header(&mut response, "x-request-id", &id.id);
    if !response.headers().contains_key("x-code") {
        set_code(&mut response, Code::Done);
    }
    let seconds = node.now().since(id.arrived) as f64 / 1e3;
    node.metrics.first_byte.with_label_values(&[&id.class_name]).observe(seconds);
    response
}

/// Refuses a request that failed its checks; one without a usable key learns
/// a prefix for its next attempt.
fn refuse_unread(node: &Rc<Node>, code: Code) -> Response<ReplyBody> {
    let prefix = (code == Code::MissingKey).then(|| locate::issue_prefix(node)).flatten();
    Refusal::new(node, code).key_prefix(prefix).into_response(code)
}

/// Counts a request as open until it is dropped.
pub(crate) struct OpenRequest {
    node: Rc<Node>,
}

impl OpenRequest {
    pub(crate) fn new(node: &Rc<Node>) -> OpenRequest {
        node.open_requests.set(node.open_requests.get() + 1);
        node.metrics.open.inc();
        OpenRequest { node: Rc::clone(node) }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.node.open_requests.set(self.node.open_requests.get() - 1);
        self.node.metrics.open.dec();
    }
}
