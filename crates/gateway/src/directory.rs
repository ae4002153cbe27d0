//! Which gateways clients should use, and whether this one is ready.

use std::{net::SocketAddrV4, rc::Rc};

use hyper::{Request, Response, body::Incoming, header::CONTENT_TYPE, header::HeaderValue};
use mimosaledge_net::server::{ReplyBody, reply};

use crate::gateway::Gateway;

/// Most addresses in an answer.
const MAX_ADDRESSES: usize = 64;

/// Answers a client that asks which gateway to use.
pub(crate) async fn locate(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
) -> Response<ReplyBody> {
    let (head, _) = request.into_parts();
    let (status, body) =
        gateway.dialect.encode_directory(&head, &|data_centre| addresses(&gateway, data_centre));
    let mut response = reply(status, body);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Answers a readiness check.
pub(crate) async fn ready(gateway: Rc<Gateway>, request: Request<Incoming>) -> Response<ReplyBody> {
    let (head, _) = request.into_parts();
    if !gateway.dialect.is_ready_check(&head) {
        return reply(404, "");
    }
    reply(if gateway.is_ready() { 200 } else { 503 }, "")
}

fn addresses(gateway: &Gateway, _data_centre: &str) -> Vec<SocketAddrV4> {
    let port = gateway.settings.listen.clients.port();
    let mut found: Vec<SocketAddrV4> = gateway
        .peers
        .borrow()
        .ready(gateway.now())
        .map(|address| SocketAddrV4::new(address, port))
        .collect();
    if gateway.is_ready() {
        found.push(gateway.settings.listen.clients);
    }
    found.truncate(MAX_ADDRESSES);
    found
}
