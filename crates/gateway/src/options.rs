//! The endpoints that one request may be sent to.

use std::rc::Rc;

use mimosaledge_core::{Millis, hash::hash64};
use mimosaledge_policy::{
    PolicySettings,
    admission::Progress,
    placement::{self, Candidate, LoadLimit, Placement, Prefix},
    slow_start,
};

use crate::{
    claims::Claims, endpoint_handle::EndpointHandle, endpoint_table, even_placement, fairness,
    gateway::Gateway, load_estimates::LoadEstimates, request_context::RequestContext,
    retry_state::RetryState,
};

/// The endpoints that one request may be sent to, and what is known of their loads.
pub(crate) struct Options {
    /// Number of endpoints of the service that the request may ever be sent to.
    known_count: usize,
    untried: Vec<Rc<EndpointHandle>>,
    candidates: Vec<Candidate>,
    estimates: LoadEstimates,
    limit: Option<LoadLimit>,
}

impl Options {
    /// Returns the endpoints among `known` that the request may be sent to now.
    pub(crate) fn find(
        gateway: &Gateway,
        context: &RequestContext,
        policy: &PolicySettings,
        known: &[&Rc<EndpointHandle>],
        retry_state: &RetryState,
        progress: Progress,
        claims: &Claims,
    ) -> Options {
        let (now, settings) = (gateway.now(), &gateway.settings);
        let loads = gateway.loads.borrow();
        let open: Vec<&Rc<EndpointHandle>> =
            known.iter().copied().filter(|it| it.is_open(claims.of(it))).collect();
        let allowed = open.iter().filter(|it| retry_state.allows(it)).map(|it| Rc::clone(it));
        let allowed: Vec<Rc<EndpointHandle>> = allowed.collect();
        // Other requests go to the endpoints that this one may not be sent to as well.
        let (allowed_count, open_count) = (allowed.len(), open.len());
        let untried = claims.filter(allowed);
        let unreported =
            endpoint_table::estimate_unreported(&context.service, &untried, settings, &loads, now);
        let batch_slots = batch_slots(gateway, context);
        let is_even = policy.even_choice && batch_slots.is_none() && context.prefix.is_none();
        let estimates = match is_even {
            true => LoadEstimates::forecast(&untried, &loads, now),
            false => LoadEstimates::from_counts(&untried, &loads, unreported.remaining_share, now),
        };
        let candidates = endpoint_table::to_candidates(&untried, settings, &estimates, &loads, now);
        let limit = batch_slots.map(|slots| LoadLimit {
            limit: fairness::load_limit(gateway, context, policy, slots, progress),
            unreported: unreported.at_some_of(allowed_count, open_count),
        });
        Options { known_count: known.len(), untried, candidates, estimates, limit }
    }

    /// Lets the loads of endpoints that are or were cold count as more than they are.
    pub(crate) fn raise_cold_loads(&mut self, now: Millis) {
        let ramps: Vec<f64> = self.untried.iter().map(|it| it.warmup().ramp(now)).collect();
        let limit = self.limit.map(|it| it.limit);
        slow_start::raise_loads(&mut self.candidates, &ramps, limit);
    }

    /// Places the request at one of the endpoints, if they have room.
    pub(crate) fn place(
        &self,
        gateway: &Gateway,
        context: &RequestContext,
        policy: &PolicySettings,
    ) -> Placement {
        let loads = gateway.loads.borrow();
        let hash = hash64(context.metadata.attempt_id.as_bytes());
        let Some(forecast) = &self.estimates.forecast else {
            let running = |key| f64::from(loads.count_with_prefix(key) + 1);
            let prefix = context.prefix.map(|key| Prefix { key, running: running(key) });
            return placement::place(policy, self.limit, prefix, &self.candidates, hash);
        };
        let (untried, candidates) = (&self.untried, &self.candidates);
        even_placement::place(policy, forecast, untried, candidates, &loads, hash, gateway.now())
    }

    /// Logs that the endpoints have no room, the least loaded one `least_load`, and that there is room
    /// for `share` of such requests.
    pub(crate) fn log_overload(
        &self,
        gateway: &Gateway,
        context: &RequestContext,
        retry_state: &RetryState,
        least_load: f64,
        share: f64,
    ) {
        spdlog::info!(
            "place: id={} route={} overloaded=true least_load={least_load:.1} limit={:.1} \
             share={share:.2} open={} known={} sent={} {} config={} list_age_ms={}",
            context.metadata.attempt_id,
            context.route().name,
            self.limit.map(|it| it.limit).unwrap_or_default(),
            self.untried.len(),
            self.known_count,
            retry_state.sends.sent,
            gateway.loads.borrow().log_fields(gateway.now()),
            gateway.config_version(),
            gateway.list_age_ms()
        );
    }

    /// Logs and counts the placement at the candidate `index`.
    pub(crate) fn record_placement(
        &self,
        gateway: &Gateway,
        context: &RequestContext,
        retry_state: &RetryState,
        index: usize,
        admitting: usize,
    ) {
        let now = gateway.now();
        let loads = gateway.loads.borrow();
        let (handle, candidate) = (&self.untried[index], self.candidates[index]);
        gateway.metrics.loads.record(&candidate, &self.candidates, loads.peer_age_ms(now));
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
            self.estimates.unsettled(),
            handle.report(now).map_or_else(|| "none".to_owned(), |it| it.age_ms.to_string()),
            candidate.is_local,
            candidate.failure_rate,
            candidate.refusal_rate,
            self.untried.len(),
            self.known_count,
            retry_state.sends.sent,
            loads.log_fields(now),
            gateway.config_version(),
            gateway.list_age_ms()
        );
    }

    /// Returns whether the service runs batches, whose load is limited.
    pub(crate) fn has_load_limit(&self) -> bool {
        self.limit.is_some()
    }

    /// Returns the endpoints that the request was not sent to.
    pub(crate) fn untried(&self) -> &[Rc<EndpointHandle>] {
        &self.untried
    }

    /// Returns these endpoints as candidates, in the same order.
    pub(crate) fn candidates(&self) -> &[Candidate] {
        &self.candidates
    }

    /// Returns the endpoint with this index.
    pub(crate) fn endpoint(&self, index: usize) -> &Rc<EndpointHandle> {
        &self.untried[index]
    }
}

/// Returns the number of requests that an engine of the request's service runs
/// in one batch, or `None` if the service has no engines.
fn batch_slots(gateway: &Gateway, context: &RequestContext) -> Option<u32> {
    gateway.routes.borrow().service(&context.service)?.batch_slots
}
