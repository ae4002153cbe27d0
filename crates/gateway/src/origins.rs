//! Finds the build that began a stream that a client resumes, which may have been served
//! by another gateway.

use std::{net::Ipv4Addr, time::Duration};

use mimosaledge_core::{Name, hash::hash64};
use mimosaledge_peer::{Message, Version};
use mimosaledge_policy::{
    Route,
    origin_search::OriginSearch,
    stream_origins::{self, BuildOrigins, StreamOrigin},
};
use tokio::time::{Instant, timeout_at};

use crate::{
    datagrams,
    dialect::RequestMetadata,
    error_response::{Code, ErrorResponse},
    gateway::Gateway,
};

/// Number of other gateways that are told of a stream before its first event is forwarded.
const HOLDERS: usize = 3;
/// Maximum number of gateways that are asked for the origin of a stream; more than
/// [`HOLDERS`], since gateways differ in whom they know.
const MAX_ASKED: usize = 10;
/// Maximum number of origins that are kept to be sent once another gateway is known, and of
/// those that are copied to more gateways in one round.
const MAX_UNSENT: usize = 500;
/// Time after which a query that may have been lost is sent again.
const QUERY_INTERVAL: Duration = Duration::from_millis(60);
/// Number of times that a query is sent.
const MAX_QUERIES: u32 = 3;
/// Maximum time to wait for proof that a stream belongs to the only known build; longer than
/// the interval at which a gateway that hears no other one reads the endpoint list.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(1_500);
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
    // Without the attempt that began it, the others can still show that they hear this gateway.
    let began = metadata.resumed_attempt.as_deref().unwrap_or(&metadata.attempt_id);
    let found = find_build(gateway, &service, hash64(began.as_bytes())).await;
    let build = found.build;
    let service = match build {
        Some(build) => service_of_build(gateway, route, service, build),
        None => service,
    };
    let builds = gateway.builds.borrow();
    spdlog::info!(
        "stream: id={} resumes={:?} after_event={:?} recorded={} asked={} denied={} \
         service={service} build={:?} current={} list_age_ms={} waited_ms={}",
        metadata.attempt_id,
        metadata.resumed_attempt.as_deref(),
        metadata.last_event,
        found.is_recorded,
        found.asked,
        found.denials,
        build.and_then(|key| builds.name(&service, key)),
        gateway.is_list_current(),
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

/// The build that began a stream, as far as it was found.
#[derive(Default)]
struct FoundBuild {
    build: Option<u64>,
    is_recorded: bool,
    /// Number of other gateways that were asked.
    asked: usize,
    /// Number of these that do not know the stream.
    denials: usize,
}

/// Finds the build that began the stream of the attempt `attempt`: asks the gateways that may
/// remember it, or shows that it can only be the one build that the service has had lately.
async fn find_build(gateway: &Gateway, service: &str, attempt: u64) -> FoundBuild {
    let recorded = || gateway.stream_origins.borrow().find(attempt).map(|it| it.build);
    if let Some(build) = recorded() {
        return FoundBuild { build: Some(build), is_recorded: true, ..FoundBuild::default() };
    }
    let asked = gateway.peers.borrow().stream_holders(attempt, MAX_ASKED, gateway.now());
    let search = ActiveSearch::start(gateway, attempt, &asked);
    let give_up_at = Instant::now() + SEARCH_TIMEOUT;
    let mut queries = 0;
    let found = |build, is_recorded| FoundBuild {
        build,
        is_recorded,
        asked: asked.len(),
        denials: search.denials(),
    };
    loop {
        if queries < MAX_QUERIES {
            datagrams::send_now(gateway, Message::OriginQuery(attempt), &asked);
            queries += 1;
        }
        let resend_at = Instant::now() + QUERY_INTERVAL;
        let mut is_waiting = true;
        while is_waiting {
            if let Some(build) = recorded() {
                return found(Some(build), true);
            }
            let only_build = gateway.builds.borrow().only_build(service, gateway.now());
            if only_build.is_some() && search.is_of_known_build() {
                return found(only_build, false);
            }
            is_waiting = timeout_at(resend_at, gateway.origin_received.notified()).await.is_ok();
        }
        let has_several = gateway.builds.borrow().only_build(service, gateway.now()).is_none();
        if (has_several && queries == MAX_QUERIES) || Instant::now() >= give_up_at {
            return found(recorded(), recorded().is_some());
        }
        // Those that have not answered may be dead.
        gateway.list_wanted.set(!has_several);
    }
}

/// A search that other gateways' answers are recorded in until it is dropped.
struct ActiveSearch<'a> {
    gateway: &'a Gateway,
    attempt: u64,
}

impl ActiveSearch<'_> {
    fn start<'a>(gateway: &'a Gateway, attempt: u64, asked: &[Ipv4Addr]) -> ActiveSearch<'a> {
        let search = OriginSearch::new(asked, gateway.now());
        gateway.origin_searches.borrow_mut().insert(attempt, search);
        ActiveSearch { gateway, attempt }
    }

    fn denials(&self) -> usize {
        self.gateway.origin_searches.borrow().get(&self.attempt).map_or(0, OriginSearch::denials)
    }

    fn is_of_known_build(&self) -> bool {
        let is_list_current = self.gateway.is_list_current();
        let list_read = self.gateway.list_read.get();
        let searches = self.gateway.origin_searches.borrow();
        let search = searches.get(&self.attempt);
        search.is_some_and(|it| it.is_of_known_build(is_list_current, list_read))
    }
}

impl Drop for ActiveSearch<'_> {
    fn drop(&mut self) {
        self.gateway.origin_searches.borrow_mut().remove(&self.attempt);
    }
}

/// Remembers the build of a stream whose first event is about to be forwarded, also at
/// other gateways.
pub(crate) fn record_begun(gateway: &Gateway, attempt_id: &str, build: u64) {
    let origin = StreamOrigin { attempt: hash64(attempt_id.as_bytes()), build };
    gateway.stream_origins.borrow_mut().record(origin, gateway.now());
    let is_sent = send_to_holders(gateway, origin);
    let later = if is_sent { &gateway.uncopied_origins } else { &gateway.unsent_origins };
    let mut later = later.borrow_mut();
    if later.len() < MAX_UNSENT {
        later.push(origin);
    }
}

/// Sends the origins of the streams that began while no other gateway was known.
pub(crate) fn send_unsent(gateway: &Gateway) {
    for origin in gateway.unsent_origins.take() {
        send_to_holders(gateway, origin);
        gateway.uncopied_origins.borrow_mut().push(origin);
    }
}

/// Sends an origin to the gateways that are to know it at once; returns whether there are any.
fn send_to_holders(gateway: &Gateway, origin: StreamOrigin) -> bool {
    let holders = gateway.peers.borrow().stream_holders(origin.attempt, HOLDERS, gateway.now());
    datagrams::send_now(gateway, Message::StreamOrigin(origin), &holders);
    !holders.is_empty()
}

/// Sends the origins of the streams that began since the last round to more gateways, as many
/// as the traffic of a round of `interval_ms` allows.
pub(crate) fn send_copies(gateway: &Gateway, interval_ms: u64) {
    let begun = gateway.uncopied_origins.take();
    if begun.is_empty() {
        return;
    }
    let peers = gateway.peers.borrow();
    let recipients = peers.urgent_recipients(gateway.now());
    let gateways = peers.speaking(Version::ORIGIN_COPIES, &recipients);
    let allowance = stream_origins::copy_allowance(peers.is_large(), interval_ms);
    let copies = stream_origins::plan_copies(&begun, &gateways, HOLDERS, allowance);
    drop(peers);
    for (to, origins) in copies {
        datagrams::send_now(gateway, Message::StreamOrigins(origins), &[to]);
    }
}

/// Remembers the origin of a stream that another gateway has sent.
pub(crate) fn record_received(gateway: &Gateway, origin: StreamOrigin) {
    gateway.stream_origins.borrow_mut().record(origin, gateway.now());
    gateway.origin_received.notify_waiters();
}

/// Remembers the origins of streams that another gateway has sent.
pub(crate) fn record_copies(gateway: &Gateway, groups: Vec<BuildOrigins>) {
    for BuildOrigins { build, attempts } in groups {
        for attempt in attempts {
            record_received(gateway, StreamOrigin { attempt, build });
        }
    }
}

/// Records that a gateway that was asked does not know a stream.
pub(crate) fn record_denial(gateway: &Gateway, from: Ipv4Addr, attempt: u64) {
    if let Some(search) = gateway.origin_searches.borrow_mut().get_mut(&attempt) {
        search.record_denial(from);
    }
    gateway.origin_received.notify_waiters();
}

/// Sends the origin of a stream to a gateway that has asked for it, or that it is unknown here.
pub(crate) fn answer_query(gateway: &Gateway, from: Ipv4Addr, attempt: u64) {
    let origin = gateway.stream_origins.borrow().find(attempt);
    match origin {
        Some(origin) => datagrams::send_now(gateway, Message::StreamOrigin(origin), &[from]),
        None if gateway.peers.borrow().version_of(from).knows_denials() => {
            datagrams::send_now(gateway, Message::OriginUnknown(attempt), &[from]);
        }
        None => {}
    }
}
