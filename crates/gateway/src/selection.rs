//! Selects the endpoint for each attempt of a request and the timeout for its
//! response.

use std::{net::SocketAddrV4, rc::Rc};

use mimosaledge_policy::{RetryPolicy, admission::Progress, placement::Placement, prefix_cache};

use crate::{
    budget, claims::Claims, eligibility, endpoint_handle::EndpointHandle, evacuation, fairness,
    gateway::Gateway, options::Options, permits, quarantine, request_context::RequestContext,
    retry_state::RetryState, selected::Selected,
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
    gateway.peers.borrow_mut().update_loads(&mut gateway.loads.borrow_mut(), gateway.now());
    let table = gateway.endpoint_table.borrow();
    let known: Vec<&Rc<EndpointHandle>> =
        eligibility::endpoints(gateway, &table, context).collect();
    let policy = gateway.settings.policy.with_share_left(evacuation::share_left(&known));
    let mut options =
        Options::find(gateway, context, &policy, &known, retry_state, progress, claims);
    if !options.has_load_limit()
        && !fairness::is_admitted(
            gateway,
            context,
            retry_state,
            progress,
            options.untried(),
            options.candidates(),
        )
    {
        return Err(Selection::Overloaded);
    }
    options.raise_cold_loads(gateway.now());
    match options.place(gateway, context, &policy) {
        Placement::Candidate { index, admitting } => {
            options.record_placement(gateway, context, retry_state, index, admitting);
            Ok(options.endpoint(index).clone())
        }
        Placement::NoCandidate => Err(Selection::Unavailable(Unavailable::NoEndpoint)),
        Placement::Overloaded { least_load, share } => {
            options.log_overload(gateway, context, retry_state, least_load, share);
            Err(Selection::Overloaded)
        }
    }
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
