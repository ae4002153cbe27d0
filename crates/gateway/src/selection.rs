//! Selects the endpoint for each attempt of a request and the timeout for its
//! response.

use std::{net::SocketAddrV4, rc::Rc};

use mimosaledge_core::hash::hash64;
use mimosaledge_policy::{
    RetryPolicy,
    admission::Progress,
    placement::{self, LoadLimit, Placement, Prefix},
    prefix_cache, slow_start,
};

use crate::{
    budget, claims::Claims, eligibility, endpoint_handle::EndpointHandle, endpoint_table,
    evacuation, even_placement, fairness, gateway::Gateway, load_estimates::LoadEstimates, permits,
    quarantine, request_context::RequestContext, retry_state::RetryState, selected::Selected,
};

/// Minimum time before the deadline at which a request is still sent, in
/// milliseconds.
pub(crate) const MIN_REMAINING_MS: u64 = 15;
/// Maximum number of endpoints that a request is denied a permit for before it goes to one
/// without a rate limit.
const MAX_DENIED_PERMITS: u32 = 2;
/// Minimum response timeout before an idempotent request is retried at another
/// endpoint, in milliseconds.
const MIN_RESPONSE_TIMEOUT_MS: u64 = 350;
/// Minimum timeout for the head of a resumable stream before the stream is
/// requested from another endpoint, in milliseconds.
const MIN_STREAM_TIMEOUT_MS: u64 = 2_000;
/// Multiple of the route's latency goal after which a request is retried at
/// another endpoint.
const LATENCY_GOAL_FACTOR: u64 = 4;

/// Result of selecting the next endpoint.
pub(crate) enum Selection {
    /// Send the request to this endpoint.
    Endpoint(Selected),
    /// Every remaining engine is at its load limit, or the service has no room for the request.
    Overloaded,
    /// No endpoint may be sent the request.
    Unavailable(Unavailable),
}

/// Why no endpoint was selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Unavailable {
    /// Too little time remains.
    Deadline,
    /// The request was sent to the maximum number of endpoints.
    SendLimit,
    /// No endpoint is open that the request was not sent to.
    NoEndpoint,
    /// The retry budget of the service is exhausted.
    RetryBudget,
    /// The request is quarantined.
    Quarantined,
    /// The gateway shuts down before the request could end.
    Stopping,
}

impl Unavailable {
    fn log_label(self) -> &'static str {
        match self {
            Unavailable::Deadline => "deadline",
            Unavailable::SendLimit => "send_limit",
            Unavailable::NoEndpoint => "no_endpoint",
            Unavailable::RetryBudget => "budget",
            Unavailable::Quarantined => "quarantine",
            Unavailable::Stopping => "stopping",
        }
    }
}

/// Selects the next endpoint for a request and records it in `retry_state`.
///
/// Every endpoint after the first takes one retry from the service's budget, and one that
/// limits what it accepts a permit.
pub(crate) async fn next_endpoint(
    gateway: &Rc<Gateway>,
    context: &RequestContext,
    retry_state: &mut RetryState,
    progress: Progress,
) -> Selection {
    let is_first = !retry_state.has_tried();
    let selection = try_next_endpoint(gateway, context, retry_state, progress).await;
    if is_first {
        fairness::record_request(gateway, context, !matches!(selection, Selection::Overloaded));
    }
    if let Selection::Unavailable(cause) = &selection
        && retry_state.has_tried()
    {
        spdlog::info!(
            "retry: id={} denied=true cause={} sent={} ran={}",
            context.metadata.attempt_id,
            cause.log_label(),
            retry_state.sends.sent,
            retry_state.sends.ran
        );
    }
    selection
}

async fn try_next_endpoint(
    gateway: &Rc<Gateway>,
    context: &RequestContext,
    retry_state: &mut RetryState,
    progress: Progress,
) -> Selection {
    if retry_state.is_at_send_limit() {
        return Selection::Unavailable(Unavailable::SendLimit);
    }
    if retry_state.has_tried() && quarantine::find_refusal(gateway, context).is_some() {
        return Selection::Unavailable(Unavailable::Quarantined);
    }
    gateway.loads.borrow_mut().record_arrival(&context.service, gateway.now());
    let mut denied_permits = 0;
    let (handle, permit) = loop {
        if context.remaining_ms(gateway.now()) < MIN_REMAINING_MS {
            return Selection::Unavailable(Unavailable::Deadline);
        }
        let claims = Claims::new(gateway, context, denied_permits < MAX_DENIED_PERMITS);
        match select_endpoint(gateway, context, retry_state, progress, &claims) {
            Ok(handle) => {
                let claim = claims.of(&handle);
                if let Some(permit) = permits::acquire(gateway, context, &handle, claim).await {
                    break (handle, permit);
                }
                denied_permits += 1;
            }
            Err(selection) => return selection,
        }
    };
    if !ends_in_time(gateway, context) {
        return Selection::Unavailable(Unavailable::Stopping);
    }
    let Some(grant) = budget::admit(gateway, context, retry_state) else {
        return Selection::Unavailable(Unavailable::RetryBudget);
    };
    retry_state.record_selected(&handle);
    Selection::Endpoint(Selected { handle, permit, grant })
}

/// Returns whether a request that is sent now ends before this gateway exits, if it shuts down:
/// by its deadline, or by the time that requests of its route take.
pub(crate) fn ends_in_time(gateway: &Gateway, context: &RequestContext) -> bool {
    let now = gateway.now();
    let expected_ms = gateway.work_times.borrow().expected_ms(context.route());
    gateway.drain.allows(expected_ms.min(context.remaining_ms(now)), now)
}

/// Returns the time until the first endpoint of the request's service accepts requests again,
/// in milliseconds; 0 if one accepts them now.
pub(crate) fn wait_ms(gateway: &Gateway, context: &RequestContext) -> u64 {
    let claims = Claims::new(gateway, context, true);
    let table = gateway.endpoint_table.borrow();
    let available = eligibility::endpoints(gateway, &table, context);
    let available = available.filter(|it| it.is_available());
    available.map(|it| it.wait_ms(claims.of(it))).min().unwrap_or_default()
}

/// Selects an endpoint by load, locality, failure rate and cached prefix; of those that limit
/// their rate, one that `claims` allows.
///
/// # Errors
///
/// Returns what to do instead if there is none.
fn select_endpoint(
    gateway: &Gateway,
    context: &RequestContext,
    retry_state: &RetryState,
    progress: Progress,
    claims: &Claims,
) -> Result<Rc<EndpointHandle>, Selection> {
    let now = gateway.now();
    gateway.peers.borrow_mut().update_loads(&mut gateway.loads.borrow_mut(), now);
    let table = gateway.endpoint_table.borrow();
    let loads = gateway.loads.borrow();
    let known: Vec<&Rc<EndpointHandle>> =
        eligibility::endpoints(gateway, &table, context).collect();
    let policy = &gateway.settings.policy.with_share_left(evacuation::share_left(&known));
    let open = known.iter().filter(|it| it.is_open(claims.of(it)));
    let open: Vec<&Rc<EndpointHandle>> = open.copied().collect();
    let allowed = open.iter().filter(|it| retry_state.allows(it)).map(|it| Rc::clone(it));
    let allowed: Vec<Rc<EndpointHandle>> = allowed.collect();
    // Other requests go to the endpoints that this one may not be sent to as well.
    let (allowed_count, open_count) = (allowed.len(), open.len());
    let untried = claims.filter(allowed);
    let settings = &gateway.settings;
    let unreported =
        endpoint_table::estimate_unreported(&context.service, &untried, settings, &loads, now);
    let batch_slots = batch_slots(gateway, context);
    let is_even = policy.even_choice && batch_slots.is_none() && context.prefix.is_none();
    let estimates = match is_even {
        true => LoadEstimates::forecast(&untried, &loads, now),
        false => LoadEstimates::from_counts(&untried, &loads, unreported.remaining_share, now),
    };
    let mut candidates = endpoint_table::to_candidates(&untried, settings, &estimates, &loads, now);
    let limit = batch_slots.map(|slots| LoadLimit {
        limit: fairness::load_limit(gateway, context, policy, slots, progress),
        unreported: unreported.at_some_of(allowed_count, open_count),
    });
    if limit.is_none()
        && !fairness::is_admitted(gateway, context, retry_state, progress, &untried, &candidates)
    {
        return Err(Selection::Overloaded);
    }
    let ramps: Vec<f64> = untried.iter().map(|it| it.warmup().ramp(now)).collect();
    slow_start::raise_loads(&mut candidates, &ramps, limit.map(|it| it.limit));
    let hash = hash64(context.metadata.attempt_id.as_bytes());
    let running = |key| f64::from(loads.count_with_prefix(key) + 1);
    let prefix = context.prefix.map(|key| Prefix { key, running: running(key) });
    let placement = match &estimates.forecast {
        Some(forecast) => {
            even_placement::place(policy, forecast, &untried, &candidates, &loads, hash, now)
        }
        None => placement::place(policy, limit, prefix, &candidates, hash),
    };
    let (index, admitting) = match placement {
        Placement::Candidate { index, admitting } => (index, admitting),
        Placement::NoCandidate => return Err(Selection::Unavailable(Unavailable::NoEndpoint)),
        Placement::Overloaded { least_load, share } => {
            spdlog::info!(
                "place: id={} route={} overloaded=true least_load={least_load:.1} limit={:.1} \
                 share={share:.2} open={} known={} sent={} {} config={} list_age_ms={}",
                context.metadata.attempt_id,
                context.route().name,
                limit.map(|it| it.limit).unwrap_or_default(),
                untried.len(),
                known.len(),
                retry_state.sends.sent,
                loads.log_fields(now),
                gateway.config_version(),
                gateway.list_age_ms()
            );
            return Err(Selection::Overloaded);
        }
    };
    let (handle, candidate) = (&untried[index], candidates[index]);
    gateway.metrics.loads.record(&candidate, &candidates, loads.peer_age_ms(now));
    spdlog::info!(
        "place: id={} route={} endpoint={} build={} load={:.1} slow={:.2} unsettled={:.1} \
         report_age_ms={} near={} failing={:.2} refusing={:.2} admitting={admitting} open={} \
         known={} sent={} {} config={} list_age_ms={}",
        context.metadata.attempt_id,
        context.route().name,
        handle.id(),
        handle.endpoint.borrow().build,
        candidate.load,
        candidate.slowness.multiple(),
        estimates.unsettled(),
        handle.report(now).map_or_else(|| "none".to_owned(), |it| it.age_ms.to_string()),
        candidate.is_local,
        candidate.failure_rate,
        candidate.refusal_rate,
        untried.len(),
        known.len(),
        retry_state.sends.sent,
        loads.log_fields(now),
        gateway.config_version(),
        gateway.list_age_ms()
    );
    Ok(handle.clone())
}

/// Returns the number of requests that an engine of the request's service runs
/// in one batch, or `None` if the service has no engines.
fn batch_slots(gateway: &Gateway, context: &RequestContext) -> Option<u32> {
    gateway.routes.borrow().service(&context.service)?.batch_slots
}

/// Returns the time without a response head after which an endpoint counts as silent,
/// in milliseconds.
///
/// While the route allows another attempt, at least a third of the remaining time is
/// left for it.
pub(crate) fn response_timeout_ms(
    gateway: &Gateway,
    context: &RequestContext,
    retry_state: &RetryState,
    handle: &EndpointHandle,
) -> u64 {
    let remaining_ms = context.remaining_ms(gateway.now());
    let goal_timeout_ms = context.route().latency_goal_ms * LATENCY_GOAL_FACTOR;
    let may_retry = retry_state.allows_replacement(context.route());
    match context.route().retry {
        RetryPolicy::Always if may_retry => {
            goal_timeout_ms.max(MIN_RESPONSE_TIMEOUT_MS).min(remaining_ms * 2 / 3)
        }
        RetryPolicy::Resume if may_retry && !handle.is_busy() => {
            goal_timeout_ms.max(MIN_STREAM_TIMEOUT_MS).min(remaining_ms * 2 / 3)
        }
        // A busy engine starts the request late, and another engine would be no
        // faster, so that the latency goal does not limit the timeout.
        RetryPolicy::Resume if may_retry => remaining_ms * 2 / 3,
        _ => remaining_ms,
    }
}

/// Returns the address of the engine from which the engine `handle` should
/// fetch the prompt prefix, or `None` if `handle` is assumed to have the prefix
/// cached or no other engine is reachable.
///
/// Records that `handle` is sent the prefix and thus will have it cached.
pub(crate) fn fetch_source(
    gateway: &Gateway,
    context: &RequestContext,
    handle: &EndpointHandle,
) -> Option<SocketAddrV4> {
    let prefix = context.prefix?;
    let now = gateway.now();
    let table = gateway.endpoint_table.borrow();
    let reachable: Vec<&Rc<EndpointHandle>> =
        table.of_service(&context.service).iter().filter(|it| it.is_reachable()).collect();
    let nodes: Vec<u64> = reachable.iter().map(|it| it.node()).collect();
    let mut cached = gateway.cached_prefixes.borrow_mut();
    let source = prefix_cache::fetch_source(prefix, handle.node(), &nodes, &cached, now)
        .filter(|_| gateway.settings.policy.prefix_fetch);
    cached.record(prefix, handle.node(), now);
    source.map(|index| reachable[index].endpoint.borrow().address)
}
