//! Gateway directory for clients, readiness checks, and metrics for operators.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    rc::Rc,
};

use hyper::{Request, Response, body::Incoming, header::CONTENT_TYPE, header::HeaderValue};
use mimosaledge_net::server::{ReplyBody, reply};

use crate::{evacuation, gateway::Gateway};

/// Maximum number of addresses in a response.
const MAX_ADDRESSES: usize = 64;

/// Responds with the gateways that a client may use.
pub(crate) async fn serve_directory(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
) -> Response<ReplyBody> {
    let (head, _) = request.into_parts();
    let (status, body) = gateway
        .dialect
        .encode_directory(&head, &|data_centre| ready_gateways(&gateway, data_centre));
    let mut response = reply(status, body);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Responds to a readiness check.
pub(crate) async fn check_readiness(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
) -> Response<ReplyBody> {
    let (head, _) = request.into_parts();
    if !gateway.dialect.is_ready_check(&head) {
        return reply(404, "");
    }
    reply(if gateway.is_ready() { 200 } else { 503 }, "")
}

/// Responds with the current values of all metrics.
pub(crate) async fn serve_metrics(
    gateway: Rc<Gateway>,
    _: Request<Incoming>,
) -> Response<ReplyBody> {
    gateway.metrics.set_state(gateway.config_version(), gateway.count_gateways());
    gateway.metrics.set_evacuations(&evacuation::states(&gateway));
    match gateway.metrics.to_text() {
        Ok(text) => reply(200, text),
        Err(err) => reply(500, err.to_string()),
    }
}

/// Returns the addresses of ready gateways in all data centres, at most
/// [`MAX_ADDRESSES`]; those that reach no endpoint only if none does.
fn ready_gateways(gateway: &Gateway, _data_centre: &str) -> Vec<SocketAddrV4> {
    let port = gateway.settings.listen.clients.port();
    let (peers, now) = (gateway.peers.borrow(), gateway.now());
    let mut gateways: Vec<Ipv4Addr> = peers.serving(now).collect();
    let mut lists_own = gateway.is_ready() && !gateway.is_cut_off();
    if gateways.is_empty() && !lists_own {
        gateways = peers.ready(now).collect();
        lists_own = gateway.is_ready();
    }
    let mut addresses: Vec<SocketAddrV4> =
        gateways.into_iter().map(|it| SocketAddrV4::new(it, port)).collect();
    if lists_own {
        addresses.push(gateway.settings.listen.clients);
    }
    addresses.truncate(MAX_ADDRESSES);
    addresses
}
