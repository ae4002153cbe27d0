//! Removal of hop-by-hop headers.

use hyper::{
    HeaderMap,
    header::{
        CONNECTION, CONTENT_LENGTH, HOST, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
        TRAILER, TRANSFER_ENCODING, UPGRADE,
    },
};

use crate::dialect::Dialect;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Removes hop-by-hop headers, which apply to one connection only, and those
/// that describe the body's framing, which hyper sets again.
///
/// Whoever sends a message may name further headers of its connection, but none that concern
/// the request beyond it.
pub(crate) fn strip_hop_by_hop_headers(headers: &mut HeaderMap, dialect: &dyn Dialect) {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| *name != HOST && !dialect.is_end_to_end(name))
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
}
