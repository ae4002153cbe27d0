//! Which endpoint a request goes to, and how long that may take.

use std::{net::SocketAddrV4, rc::Rc};

use mimosaledge_core::hash::hash64;
use mimosaledge_policy::{
    RetryPolicy,
    admission::{self, Progress},
    placement::{self, Candidate, Prefix},
    prefix_cache,
};

use crate::{endpoint_table::EndpointHandle, gateway::Gateway, request::Job};

/// Time left below which a request is not sent, in milliseconds.
pub(crate) const MIN_LEFT_MS: u64 = 15;
/// Endpoints that may refuse a request before it is given up.
const MAX_SENDS: u32 = 4;
/// Shortest time for an answer before an idempotent request is sent to
/// another endpoint, in milliseconds.
const MIN_ANSWER_MS: u64 = 350;
/// Shortest time for the head of a stream that can be resumed before it is
/// asked of another endpoint, in milliseconds.
const MIN_STREAM_MS: u64 = 2_000;
/// Multiple of the route's goal after which a request is sent to another
/// endpoint.
const GOAL_MULTIPLE: u64 = 4;

/// The endpoints that a request has been sent to.
#[derive(Debug, Default)]
pub(crate) struct Tries {
    pub(crate) nodes: Vec<u64>,
    pub(crate) sent: u32,
    pub(crate) ran: u32,
}

/// What to do with a request next.
#[derive(Debug)]
pub(crate) enum Next {
    /// Send it to an endpoint.
    Send(Rc<EndpointHandle>),
    /// Every engine that is left is at its load limit.
    Overloaded,
    /// There is no time, budget or endpoint left.
    None,
}

/// Chooses what to do with a request next.
pub(crate) fn next_endpoint(
    gateway: &Gateway,
    job: &Job,
    tries: &mut Tries,
    progress: Progress,
) -> Next {
    let now = gateway.now();
    if job.left_ms(now) < MIN_LEFT_MS || tries.sent >= MAX_SENDS {
        return Next::None;
    }
    let slot = match place(gateway, job, tries, progress) {
        Next::Send(slot) => slot,
        next => return next,
    };
    if tries.sent > 0 {
        if !gateway.budget.borrow_mut().try_acquire(&job.service, gateway.count_gateways(), now) {
            spdlog::info!("retry: id={} denied=true cause=budget", job.ask.attempt);
            return Next::None;
        }
        gateway.metrics.repeats.inc();
    }
    tries.sent += 1;
    tries.nodes.push(slot.node());
    Next::Send(slot)
}

fn place(gateway: &Gateway, job: &Job, tries: &Tries, progress: Progress) -> Next {
    let now = gateway.now();
    gateway.peers.borrow_mut().update_loads(&mut gateway.loads.borrow_mut(), now);
    let fleet = gateway.endpoint_table.borrow();
    let loads = gateway.loads.borrow();
    let known = fleet.of_service(&job.service);
    let mut open: Vec<(&Rc<EndpointHandle>, Candidate)> = known
        .iter()
        .filter(|it| it.is_open() && !tries.nodes.contains(&it.node()))
        .map(|it| (it, it.to_candidate(&gateway.settings.data_centre, &loads, now)))
        .collect();
    if open.is_empty() {
        return Next::None;
    }
    if let Some(slots) = batch_slots(gateway, job) {
        let limit = admission::load_limit(slots, job.admitted.priority, progress);
        let least = open.iter().map(|(_, it)| it.load).fold(f64::MAX, f64::min);
        if least >= limit {
            spdlog::info!(
                "place: id={} route={} overloaded=true least_load={least} limit={limit} open={} \
                 known={} sent={} config={} list_age_ms={}",
                job.ask.attempt,
                job.route().name,
                open.len(),
                known.len(),
                tries.sent,
                gateway.version(),
                gateway.list_age_ms()
            );
            return Next::Overloaded;
        }
        open.retain(|(_, it)| it.load < limit);
    }
    let candidates: Vec<Candidate> = open.iter().map(|(_, it)| *it).collect();
    let pick = hash64(job.ask.attempt.as_bytes());
    let running = |key| f64::from(loads.count_with_prefix(key) + 1);
    let prefix = job.prefix.map(|key| Prefix { key, running: running(key) });
    let Some(at) = placement::choose(prefix, &candidates, pick) else { return Next::None };
    let (slot, chosen) = &open[at];
    spdlog::info!(
        "place: id={} route={} endpoint={} load={} near={} failing={:.2} open={} known={} sent={} \
         config={} list_age_ms={}",
        job.ask.attempt,
        job.route().name,
        slot.id(),
        chosen.load,
        chosen.is_local,
        chosen.failure_rate,
        open.len(),
        known.len(),
        tries.sent,
        gateway.version(),
        gateway.list_age_ms()
    );
    Next::Send(Rc::clone(slot))
}

/// Returns how many requests an engine of the request's service batches.
fn batch_slots(gateway: &Gateway, job: &Job) -> Option<u32> {
    gateway.routes.borrow().service(&job.service)?.batch_slots
}

/// Returns how long the next endpoint may take to begin its answer.
pub(crate) fn answer_limit(
    gateway: &Gateway,
    job: &Job,
    tries: &Tries,
    slot: &EndpointHandle,
) -> u64 {
    let left_ms = job.left_ms(gateway.now());
    let patience_ms = job.route().latency_goal_ms * GOAL_MULTIPLE;
    let may_repeat = tries.ran + 1 < job.route().max_attempts;
    match job.route().retry {
        RetryPolicy::Always if may_repeat => patience_ms.max(MIN_ANSWER_MS).min(left_ms * 2 / 3),
        // A full engine is slow to begin, and another would be no faster.
        RetryPolicy::Resume if may_repeat && !slot.is_busy() => {
            patience_ms.max(MIN_STREAM_MS).min(left_ms * 2 / 3)
        }
        RetryPolicy::Resume if may_repeat => left_ms * 2 / 3,
        _ => left_ms,
    }
}

/// Returns the engine that has the prompt's prefix cached if `slot` may not.
pub(crate) fn fetch_source(
    gateway: &Gateway,
    job: &Job,
    slot: &EndpointHandle,
) -> Option<SocketAddrV4> {
    let prefix = job.prefix?;
    let now = gateway.now();
    let fleet = gateway.endpoint_table.borrow();
    let reachable: Vec<&Rc<EndpointHandle>> =
        fleet.of_service(&job.service).iter().filter(|it| it.is_reachable()).collect();
    let nodes: Vec<u64> = reachable.iter().map(|it| it.node()).collect();
    let mut cached = gateway.cached_prefixes.borrow_mut();
    let source = prefix_cache::fetch_source(prefix, slot.node(), &nodes, &cached, now);
    cached.record(prefix, slot.node(), now);
    source.map(|at| reachable[at].endpoint.borrow().address)
}
