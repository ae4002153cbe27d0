//! Admits requests to services that lack room, so that workspaces share it fairly.
//!
//! Two decisions are carried here, both based on what the gateways tell each other while a service
//! lacks room: how many requests endpoints that report no load can answer in time, and which
//! workspaces get more than their share. A request that is not admitted is refused at once.

use std::rc::Rc;

use mimosaledge_core::{
    Millis,
    hash::{hash32, hash64},
};
use mimosaledge_peer::Version;
use mimosaledge_policy::{
    PolicySettings, Route,
    admission::{self, Progress},
    capacity::{Occupancy, Times},
    fair_share::{self, PRIORITIES},
    placement::Candidate,
    returns,
};

use crate::{
    dialect::RequestMetadata, endpoint_handle::EndpointHandle, fairness_table::Demand,
    gateway::Gateway, in_flight::InFlight, request_context::RequestContext,
    retry_state::RetryState,
};

/// Distinguishes the random number of this decision from those of others.
const RANDOM_SALT: u64 = 0x6661_6972;
/// Share of an engine's load limit that is closed to a workspace that takes all of it beyond its
/// share.
const EXCESS_BAND: f64 = 0.1;

/// Returns whether the client of a request seems to have been refused before.
pub(crate) fn is_return(gateway: &Gateway, route: &Route, metadata: &RequestMetadata) -> bool {
    let Some(deadline_ms) = metadata.deadline_ms else { return false };
    let deadline_ms = deadline_ms.min(route.timeout_ms);
    gateway.fairness.borrow_mut().usual_deadlines.record(&route.name, deadline_ms)
}

/// Records a request that is to be sent for the first time, and whether there was room for it.
pub(crate) fn record_request(gateway: &Gateway, context: &RequestContext, is_admitted: bool) {
    let mut table = gateway.fairness.borrow_mut();
    let (workspace, priority) = (workspace_hash(context), context.authorized.priority);
    table.record_request(&context.service, workspace, priority, is_admitted, gateway.now());
    if context.is_return {
        table.record_return(&context.service, gateway.now());
    }
}

/// Records a complete answer of an endpoint that reports no load.
pub(crate) fn record_answer(
    gateway: &Gateway,
    context: &RequestContext,
    in_flight: &InFlight,
    is_error: bool,
    now: Millis,
) {
    let mut table = gateway.fairness.borrow_mut();
    table.record_completion(&context.service, now);
    if is_error {
        return;
    }
    let handle = in_flight.handle();
    let slots = handle.endpoint.borrow().slots;
    let duration_ms = now.since(in_flight.started());
    table.record_answer(&context.service, duration_ms, in_flight.load(), slots, now);
}

/// Returns the load at which an engine with `slots` admits the request no more: lower for
/// workspaces that get more than their share while others are refused.
pub(crate) fn load_limit(
    gateway: &Gateway,
    context: &RequestContext,
    policy: &PolicySettings,
    slots: u32,
    progress: Progress,
) -> f64 {
    let limit = admission::load_limit(policy, slots, context.authorized.priority, progress);
    if !policy.fair_shares || progress == Progress::Started {
        return limit;
    }
    let mut table = gateway.fairness.borrow_mut();
    let share = &table.demand(&context.service, gateway.now()).share;
    if !share.is_contended() {
        return limit;
    }
    let lowered = limit * (1.0 - EXCESS_BAND * share.excess(workspace_hash(context)));
    if context.is_return { lowered + policy.priority_slots } else { lowered }
}

/// Returns whether a request is admitted to a service whose endpoints report no load: some are
/// refused if more arrive than the endpoints can answer in time.
///
/// `handles` and `candidates` are the endpoints that it may be sent to.
pub(crate) fn is_admitted(
    gateway: &Gateway,
    context: &RequestContext,
    retry_state: &RetryState,
    progress: Progress,
    handles: &[Rc<EndpointHandle>],
    candidates: &[Candidate],
) -> bool {
    let has_begun =
        progress == Progress::Started || retry_state.has_tried() || retry_state.may_have_run();
    if has_begun || !is_limit_known(gateway, context, handles) {
        return true;
    }
    let occupancy = Occupancy {
        load: candidates.iter().map(|it| it.load).sum(),
        slots: handles.iter().map(|it| f64::from(it.endpoint.borrow().slots)).sum(),
    };
    let route = context.route();
    let times = Times { goal_ms: route.latency_goal_ms, timeout_ms: route.timeout_ms };
    let now = gateway.now();
    let mut table = gateway.fairness.borrow_mut();
    let room = table.admitted_share(&context.service, occupancy, times, now);
    if room >= 1.0 {
        return true;
    }
    let limit = table.limit(&context.service);
    let demand = table.demand(&context.service, now);
    let admission = admission_of(gateway, context, demand, room);
    let is_admitted = random(&context.metadata.attempt_id) < admission;
    if !is_admitted {
        log_refusal(gateway, context, occupancy, limit, demand, admission);
    }
    is_admitted
}

/// Returns whether what is known of a service suffices to limit the requests to it.
///
/// In a large fleet the requests in flight are not known, and gateways of earlier builds do not
/// tell what they complete. What the whole service completes says nothing of a part of its
/// endpoints, and streams end too late to count.
fn is_limit_known(
    gateway: &Gateway,
    context: &RequestContext,
    handles: &[Rc<EndpointHandle>],
) -> bool {
    let table = gateway.endpoint_table.borrow();
    let available = table.of_service(&context.service).iter().filter(|it| it.is_available());
    gateway.settings.policy.limit_queues
        && !context.route().streaming
        && !handles.is_empty()
        && handles.len() == available.count()
        && !gateway.loads.borrow().is_sampled()
        && gateway.peers.borrow().all_speak(Version::EXTENSIONS)
}

/// Returns the probability with which a request is admitted if there is room for the share `room`
/// of all.
fn admission_of(gateway: &Gateway, context: &RequestContext, demand: &Demand, room: f64) -> f64 {
    if !gateway.settings.policy.fair_shares {
        return room;
    }
    let wanted: f64 = demand.priorities.iter().sum();
    let shares = fair_share::share_by_priority(room * wanted, demand.priorities);
    let share = shares[usize::from(context.authorized.priority).min(PRIORITIES - 1)];
    let admission = demand.share.admission(workspace_hash(context), share);
    returns::prefer(admission, demand.returned, context.is_return)
}

fn log_refusal(
    gateway: &Gateway,
    context: &RequestContext,
    occupancy: Occupancy,
    limit: f64,
    demand: &Demand,
    admission: f64,
) {
    let workspace = workspace_hash(context);
    let label = if context.is_return { "return" } else { "new" };
    gateway.metrics.room_refusals.with_label_values(&[&context.service, label]).inc();
    spdlog::info!(
        "fair: id={} service={} workspace={} priority={} return={} admission={admission:.2} \
         load={:.1} limit={limit:.1} arrivals_per_s={:.0} completions_per_s={:.0} own_share={:.3} gateways={} \
         age_ms={}",
        context.metadata.attempt_id,
        context.service,
        context.workspace(),
        context.authorized.priority,
        context.is_return,
        occupancy.load,
        demand.rates.arrivals_per_ms * 1_000.0,
        demand.rates.completions_per_ms * 1_000.0,
        demand.share.usage(workspace).arrived / demand.share.total().arrived.max(1.0),
        demand.gateways,
        demand.age_ms
    );
}

/// Returns whether more requests arrive at the service than its endpoints, which report no load,
/// can answer in time.
pub(crate) fn is_short_of_room(gateway: &Gateway, context: &RequestContext) -> bool {
    gateway.fairness.borrow().is_short_of_room(&context.service, gateway.now())
}

/// Returns the delay after which a request that was refused for lack of room should be sent again,
/// in milliseconds.
pub(crate) fn retry_after_ms(gateway: &Gateway, context: &RequestContext) -> u64 {
    let (policy, now) = (&gateway.settings.policy, gateway.now());
    let (remaining_ms, attempt_id) = (context.remaining_ms(now), &context.metadata.attempt_id);
    if !policy.fair_shares || !policy.spread_retries {
        return admission::retry_after_ms(policy, remaining_ms, attempt_id);
    }
    let mut table = gateway.fairness.borrow_mut();
    let excess = table.demand(&context.service, now).share.excess(workspace_hash(context));
    returns::delay_ms(remaining_ms, excess, attempt_id)
}

/// Drops what is out of date, and updates the metrics.
pub(crate) fn run_maintenance(gateway: &Gateway) {
    let now = gateway.now();
    let mut table = gateway.fairness.borrow_mut();
    table.remove_old(now);
    gateway.metrics.set_top_workspaces(&table.top(now));
}

fn workspace_hash(context: &RequestContext) -> u32 {
    hash32(context.workspace().as_bytes())
}

/// Returns a number from 0 to 1 that is uniform over attempts.
fn random(attempt_id: &str) -> f64 {
    let hash = hash64(&(hash64(attempt_id.as_bytes()) ^ RANDOM_SALT).to_le_bytes());
    (hash >> 11) as f64 / (1u64 << 53) as f64
}
