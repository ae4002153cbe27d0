//! Removal of headers that concern one connection, or that gateways tell each other.

use hyper::{
    HeaderMap,
    header::{
        CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderName, PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
    },
};

use crate::{dialect::Dialect, forward, handover};

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Removes hop-by-hop headers, which apply to one connection only, those that describe the
/// body's framing, which hyper sets again, and those that only gateways may set.
///
/// The names in a `Connection` header are its sender's choice, which does not extend to what the
/// recipient has to know.
pub(crate) fn strip_hop_by_hop_headers(headers: &mut HeaderMap, dialect: &dyn Dialect) {
    let is_protected =
        |name: &HeaderName| *name == HOST || *name == CONTENT_TYPE || dialect.is_end_to_end(name);
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| !is_protected(name))
        .collect();
    for name in listed {
        headers.remove(name);
    }
    let hop_by_hop = [
        CONNECTION,
        CONTENT_LENGTH,
        KEEP_ALIVE,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        PROXY_CONNECTION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
    ];
    for name in hop_by_hop {
        headers.remove(name);
    }
    for name in handover::HEADERS {
        headers.remove(name);
    }
    headers.remove(forward::NO_ENDPOINT_HEADER);
}
