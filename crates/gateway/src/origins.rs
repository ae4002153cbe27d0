//! Finds the build that began a stream that a client resumes, which may have been served
//! by another gateway.

use std::{net::Ipv4Addr, time::Duration};

use mimosaledge_core::{Name, hash::hash64};
use mimosaledge_peer::Message;
use mimosaledge_policy::{Route, stream_origins::StreamOrigin};
use tokio::time::{Instant, timeout_at};

use crate::{
    datagrams,
    dialect::RequestMetadata,
    error_response::{Code, ErrorResponse},
    gateway::Gateway,
};

/// Number of other gateways that remember each stream.
const HOLDERS: usize = 3;
/// Maximum number of gateways that are asked for the origin of a stream; more than
/// [`HOLDERS`], since gateways differ in whom they know.
const MAX_ASKED: usize = 10;
/// Maximum number of origins that are kept to be sent once another gateway is known.
const MAX_UNSENT: usize = 1_000;
/// Time after which a query that may have been lost is sent again.
const QUERY_INTERVAL: Duration = Duration::from_millis(60);
/// Number of times that a query is sent if the service has several builds; once if the
/// only build is known besides.
const MAX_QUERIES: u32 = 3;
/// Minimum delay after which a client may try again to resume a stream of unknown origin,
/// and range of the jitter that is added, in milliseconds.
const RETRY_MS: u64 = 200;

/// Where a stream can be resumed.
pub(crate) struct ResumeTarget {
    pub(crate) service: Name,
    /// Key of the build.
    pub(crate) build: u64,
}

/// Returns where the stream that a client resumes can go on. The service of `route` that
/// began it may be another than `service`, which new streams get.
///
/// # Errors
///
/// Returns an error response if the origin of the stream is unknown and the service has
/// had several builds lately, or may have another one that is not listed here yet.
pub(crate) async fn find_target(
    gateway: &Gateway,
    route: &Route,
    service: Name,
    metadata: &RequestMetadata,
) -> Result<ResumeTarget, ErrorResponse> {
    let started = gateway.now();
    let only_build = gateway.builds.borrow().only_build(&service, gateway.now());
    let is_current = gateway.is_list_current();
    let only_build = only_build.filter(|_| is_current);
    let max_queries = if only_build.is_some() { 1 } else { MAX_QUERIES };
    let origin = match metadata.resumed_attempt.as_deref() {
        Some(attempt_id) => find_origin(gateway, hash64(attempt_id.as_bytes()), max_queries).await,
        None => None,
    };
    let build = origin.map(|it| it.build).or(only_build);
    let service = match build {
        Some(build) => service_of_build(gateway, route, service, build),
        None => service,
    };
    let builds = gateway.builds.borrow();
    spdlog::info!(
        "stream: id={} resumes={:?} after_event={:?} recorded={} service={service} build={:?} \
         current={is_current} list_age_ms={} waited_ms={}",
        metadata.attempt_id,
        metadata.resumed_attempt.as_deref(),
        metadata.last_event,
        origin.is_some(),
        build.and_then(|key| builds.name(&service, key)),
        gateway.list_age_ms(),
        gateway.now().since(started)
    );
    match build {
        Some(build) => Ok(ResumeTarget { service, build }),
        None => {
            let jitter_ms = hash64(metadata.attempt_id.as_bytes()) % RETRY_MS;
            Err(ErrorResponse::with_retry_after(Code::UnknownBuild, RETRY_MS + jitter_ms))
        }
    }
}

/// Returns the service of `route` that has a build, or `service` if that is not known.
pub(crate) fn service_of_build(
    gateway: &Gateway,
    route: &Route,
    service: Name,
    build: u64,
) -> Name {
    let builds = gateway.builds.borrow();
    let mut services = route.targets.iter().map(|it| &it.service);
    services.find(|it| builds.name(it, build).is_some()).cloned().unwrap_or(service)
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
        datagrams::send_now(gateway, Message::OriginQuery(attempt), &asked);
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
    if !send_to_holders(gateway, origin) {
        let mut unsent = gateway.unsent_origins.borrow_mut();
        if unsent.len() < MAX_UNSENT {
            unsent.push(origin);
        }
    }
}

/// Sends the origins of the streams that began while no other gateway was known.
pub(crate) fn send_unsent(gateway: &Gateway) {
    for origin in gateway.unsent_origins.take() {
        send_to_holders(gateway, origin);
    }
}

/// Sends an origin to the gateways that are to remember it; returns whether there are any.
fn send_to_holders(gateway: &Gateway, origin: StreamOrigin) -> bool {
    let holders = gateway.peers.borrow().stream_holders(origin.attempt, HOLDERS, gateway.now());
    datagrams::send_now(gateway, Message::StreamOrigin(origin), &holders);
    !holders.is_empty()
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
        datagrams::send_now(gateway, Message::StreamOrigin(origin), &[from]);
    }
}
