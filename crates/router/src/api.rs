//! The HTTP server for clients.

use std::rc::Rc;

use hyper::{Method, Request, Response, body::Incoming};
use mimosaledge_core::{Code, config::Target, quarantine::QuarantineStatus};
use mimosaledge_net::server::{self, ReplyBody};
use spdlog::info;
use tokio::net::TcpListener;

use crate::{
    generate, idempotency, locate,
    node::{Node, preset},
    ready,
    request::ClientRequest,
    response::{ErrorResponse, error_response, set_code, set_header},
    service,
};

/// Serves client requests on `listener` until it is dropped.
pub(crate) async fn serve(node: Rc<Node>, listener: TcpListener) {
    server::serve(listener, move |request| handle(Rc::clone(&node), request)).await;
}

async fn handle(node: Rc<Node>, request: Request<Incoming>) -> Response<ReplyBody> {
    ready::serve_if_ready(&node);
    let response = match (request.method(), request.uri().path()) {
        (&Method::GET, "/locate") => locate::handle(&node, request.uri().query().unwrap_or("")),
        (&Method::POST, "/v1/run") if !node.accepts_requests() => reject_unread(&node, &request),
        (&Method::POST, "/v1/run") => {
            let open_request = OpenRequestGuard::new(&node);
            run(&node, request, open_request).await
        }
        _ => error_response(&node, Code::UnknownPath),
    };
    let code = response.headers().get("x-code").and_then(|it| it.to_str().ok());
    node.metrics.answers.with_label_values(&[code.unwrap_or("none")]).inc();
    response
}

/// Rejects a request without reading its body, because the router is not ready yet
/// or could stop before the response is complete.
fn reject_unread(node: &Node, request: &Request<Incoming>) -> Response<ReplyBody> {
    let is_keyed = request.headers().contains_key("idempotency-key");
    let code = match node.phase().refusal_code(is_keyed) {
        Code::Starting if node.active().is_none() => Code::NoConfiguration,
        code => code,
    };
    error_response(node, code)
}

async fn run(
    node: &Rc<Node>,
    http_request: Request<Incoming>,
    open_request: OpenRequestGuard,
) -> Response<ReplyBody> {
    let request = match ClientRequest::read(node, http_request).await {
        Ok(request) => request,
        Err(code) => return reject_invalid(node, code),
    };
    let status = node.state.borrow().quarantine.status(request.fingerprint, node.now());
    if let QuarantineStatus::Refused(wait_ms) = status {
        info!("api: {} of {} is quarantined", request.id, request.workspace);
        let response = ErrorResponse::new(node, Code::Quarantined).retry_after(wait_ms);
        return response.into_response(Code::Quarantined);
    }
    let retry_percent = preset(&request.active).retry_percent;
    node.state.borrow_mut().retry_budget.credit(&request.workspace, retry_percent);
    let request = Rc::new(request);
    let mut response = match (request.class.target, request.class.idempotent) {
        (Target::Engine, _) => generate::handle(node, &request, open_request).await,
        (Target::Service, true) => service::handle(node, &request).await,
        (Target::Service, false) => idempotency::handle(node, &request).await,
    };
    set_header(&mut response, "x-request-id", &request.id);
    if !response.headers().contains_key("x-code") {
        set_code(&mut response, Code::Done);
    }
    let seconds = node.now().since(request.arrived) as f64 / 1e3;
    node.metrics.first_byte.with_label_values(&[&request.class_name]).observe(seconds);
    response
}

/// Rejects a request that failed validation; if its idempotency key is missing, the
/// response has a prefix for one.
fn reject_invalid(node: &Rc<Node>, code: Code) -> Response<ReplyBody> {
    let prefix = (code == Code::MissingKey).then(|| locate::issue_prefix(node)).flatten();
    ErrorResponse::new(node, code).key_prefix(prefix).into_response(code)
}

/// Counts a request as open until dropped.
pub(crate) struct OpenRequestGuard {
    node: Rc<Node>,
}

impl OpenRequestGuard {
    pub(crate) fn new(node: &Rc<Node>) -> OpenRequestGuard {
        node.open_requests.set(node.open_requests.get() + 1);
        node.metrics.open.inc();
        OpenRequestGuard { node: Rc::clone(node) }
    }
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.node.open_requests.set(self.node.open_requests.get() - 1);
        self.node.metrics.open.dec();
    }
}
