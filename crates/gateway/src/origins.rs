//! Finds the build that began a stream that a client resumes, which may have been served
//! by another gateway.

use std::{net::Ipv4Addr, time::Duration};

use mimosaledge_core::{Name, hash::hash64};
use mimosaledge_policy::{Route, stream_origins::StreamOrigin};
use tokio::time::{Instant, timeout_at};

use crate::{
    error_response::{Code, ErrorResponse},
    gateway::Gateway,
    gossip,
    messages::Message,
};

/// Number of other gateways that remember each stream.
const HOLDERS: usize = 3;
/// Maximum number of gateways that are asked for the origin of a stream; more than
/// [`HOLDERS`], since gateways differ in whom they know.
const MAX_ASKED: usize = 10;
/// Time after which a query that may have been lost is sent again.
const QUERY_INTERVAL: Duration = Duration::from_millis(60);
/// Number of times that a query is sent if the service has several builds; once if the
/// only build is known besides.
const MAX_QUERIES: u32 = 3;
/// Delay after which a client may try again to resume a stream of unknown origin, in
/// milliseconds.
const RETRY_MS: u64 = 300;

/// Where a stream can be resumed.
pub(crate) struct ResumeTarget {
    pub(crate) service: Name,
    /// Key of the build.
    pub(crate) build: u64,
}

/// Returns where a stream can be resumed that the attempt `resumed` began, if the client
/// names it. The service of `route` that began it may be another than `service`, which
/// new streams get.
///
/// # Errors
///
/// Returns an error response if the origin of the stream is unknown and the service has
/// had several builds lately, or may have another one that is not listed here yet.
pub(crate) async fn find_target(
    gateway: &Gateway,
    route: &Route,
    service: Name,
    resumed: Option<&str>,
) -> Result<ResumeTarget, ErrorResponse> {
    let only_build = gateway.builds.borrow().only_build(&service, gateway.now());
    let only_build = only_build.filter(|_| gateway.is_list_current());
    let max_queries = if only_build.is_some() { 1 } else { MAX_QUERIES };
    let origin = match resumed {
        Some(attempt_id) => find_origin(gateway, hash64(attempt_id.as_bytes()), max_queries).await,
        None => None,
    };
    if let Some(origin) = origin {
        let builds = gateway.builds.borrow();
        let mut services = route.targets.iter().map(|it| &it.service);
        let began = services.find(|it| builds.contains(it, origin.build)).cloned();
        return Ok(ResumeTarget { service: began.unwrap_or(service), build: origin.build });
    }
    match only_build {
        Some(build) => Ok(ResumeTarget { service, build }),
        None => Err(ErrorResponse::with_retry_after(Code::UnknownBuild, RETRY_MS)),
    }
}

/// Returns the origin of a stream, and asks the gateways that may remember it.
async fn find_origin(gateway: &Gateway, attempt: u64, max_queries: u32) -> Option<StreamOrigin> {
    let find = || gateway.stream_origins.borrow().find(attempt);
    for _ in 0..max_queries {
        if let Some(origin) = find() {
            return Some(origin);
        }
        let asked = gateway.peers.borrow().stream_holders(attempt, MAX_ASKED, gateway.now());
        if asked.is_empty() {
            return None;
        }
        gossip::send_now(gateway, &Message::OriginQuery(attempt), &asked);
        let resend_at = Instant::now() + QUERY_INTERVAL;
        while timeout_at(resend_at, gateway.origin_received.notified()).await.is_ok() {
            if let Some(origin) = find() {
                return Some(origin);
            }
        }
    }
    find()
}

/// Remembers the build of a stream whose first event is about to be forwarded, also at
/// other gateways.
pub(crate) fn record_begun(gateway: &Gateway, attempt_id: &str, build: u64) {
    let origin = StreamOrigin { attempt: hash64(attempt_id.as_bytes()), build };
    gateway.stream_origins.borrow_mut().record(origin, gateway.now());
    let holders = gateway.peers.borrow().stream_holders(origin.attempt, HOLDERS, gateway.now());
    gossip::send_now(gateway, &Message::StreamOrigin(origin), &holders);
}

/// Remembers the origin of a stream that another gateway has sent.
pub(crate) fn record_received(gateway: &Gateway, origin: StreamOrigin) {
    gateway.stream_origins.borrow_mut().record(origin, gateway.now());
    gateway.origin_received.notify_waiters();
}

/// Sends the origin of a stream to a gateway that has asked for it, if it is known.
pub(crate) fn answer_query(gateway: &Gateway, from: Ipv4Addr, attempt: u64) {
    let origin = gateway.stream_origins.borrow().find(attempt);
    if let Some(origin) = origin {
        gossip::send_now(gateway, &Message::StreamOrigin(origin), &[from]);
    }
}
