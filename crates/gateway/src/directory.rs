//! Gateway directory for clients, readiness checks, and metrics for operators.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    rc::Rc,
};

use hyper::{Request, Response, body::Incoming, header::CONTENT_TYPE, header::HeaderValue};
use mimosaledge_core::{Name, hash::hash32};
use mimosaledge_net::server::{ReplyBody, reply};

use crate::{dialect::DirectoryQuery, evacuation, gateway::Gateway};

/// Maximum number of addresses in a response.
const MAX_ADDRESSES: usize = 64;

/// Responds with the gateways that a client may use.
pub(crate) async fn serve_directory(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
) -> Response<ReplyBody> {
    let (head, _) = request.into_parts();
    let (status, body) =
        gateway.dialect.encode_directory(&head, &|query| ready_gateways(&gateway, query));
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

/// Returns the addresses of the gateways that a client should use, at most [`MAX_ADDRESSES`]:
/// ready ones, and those that reach no endpoint only if none does.
fn ready_gateways(gateway: &Gateway, query: &DirectoryQuery) -> Vec<SocketAddrV4> {
    let own = gateway.settings.address;
    let (peers, now) = (gateway.peers.borrow(), gateway.now());
    let mut gateways: Vec<Ipv4Addr> = peers.serving(now).collect();
    let mut lists_own = gateway.is_ready() && !gateway.is_cut_off();
    if gateways.is_empty() && !lists_own {
        gateways = peers.ready(now).collect();
        lists_own = gateway.is_ready();
    }
    if lists_own {
        gateways.push(own);
    }
    let region_of = |it: Ipv4Addr| match it == own {
        true => gateway.settings.region_hash(),
        false => peers.region_of(it),
    };
    for regions in preferred_regions(gateway, query) {
        let is_inside = |it: &Ipv4Addr| regions.contains(&region_of(*it));
        if gateways.iter().any(is_inside) {
            gateways.retain(is_inside);
            break;
        }
    }
    gateways.truncate(MAX_ADDRESSES);
    let port = gateway.settings.listen.clients.port();
    gateways.into_iter().map(|it| SocketAddrV4::new(it, port)).collect()
}

/// Returns the hashes of the regions whose gateways a client should use, best ones first: its
/// own region, and the homes of the host's routes. Returns none if there are no such homes, or
/// if the fleet has only one region.
fn preferred_regions(gateway: &Gateway, query: &DirectoryQuery) -> Vec<Vec<u32>> {
    if gateway.settings.region_hash() == 0 {
        return Vec::new();
    }
    let Some(homes) = gateway.routes.borrow().homes_of_host(&query.host) else {
        return Vec::new();
    };
    let named = Some(&query.region).filter(|it| !it.is_empty());
    let client = named.or_else(|| gateway.settings.region_of(&query.data_centre));
    let hash = |it: &Name| hash32(it.as_bytes());
    vec![client.into_iter().map(hash).collect(), homes.iter().map(hash).collect()]
}
