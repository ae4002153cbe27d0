//! An endpoint as the request path uses it: connections, load and health.

use std::{
    cell::{Cell, RefCell},
    net::Ipv4Addr,
    rc::Rc,
};

use mimosaledge_core::{Millis, Name, hash::hash64};
use mimosaledge_peer::{EndpointLimits, LimitSample, LoadSample};
use mimosaledge_policy::{
    Endpoint, EndpointGroup, EndpointState, PolicySettings,
    concurrency::Capacity,
    health::{Health, Outcome, Tally},
    load::{MeanDuration, Report},
    permits::Claim,
    slow_start::{Pace, Warmup},
};

use crate::{
    clock::Clock, dialect::ResponseMetadata, endpoint_load::EndpointLoad, pool::Pool,
    responsiveness::Responsiveness, restrictions::Restrictions,
};

/// Connections, load and health of one incarnation of an endpoint.
#[derive(Debug)]
pub(crate) struct EndpointHandle {
    pub(crate) endpoint: RefCell<Endpoint>,
    pub(crate) pool: Pool,
    pub(crate) load: EndpointLoad,
    pub(crate) speed: Responsiveness,
    restrictions: Restrictions,
    node: u64,
    health: RefCell<Health>,
    /// Whether the endpoint has accepted a connection or responded.
    was_reached: Cell<bool>,
    /// Whether the endpoint's data centre is evacuated.
    is_evacuated: Cell<bool>,
    /// Whether the endpoint was up and could not be reached since.
    is_lost: Cell<bool>,
    warmup: Cell<Warmup>,
    clock: Clock,
}

impl EndpointHandle {
    /// Creates a handle without requests or connections; connections will be opened from the
    /// address `local`.
    pub(crate) fn new(
        endpoint: Endpoint,
        local: Ipv4Addr,
        mean_duration: Rc<Cell<MeanDuration>>,
        clock: Clock,
    ) -> EndpointHandle {
        let node = node_number(&endpoint);
        let pool = Pool::new(endpoint.address, clock).with_local(local);
        EndpointHandle {
            endpoint: RefCell::new(endpoint),
            pool,
            load: EndpointLoad::new(mean_duration),
            speed: Responsiveness::default(),
            restrictions: Restrictions::default(),
            node,
            health: RefCell::default(),
            was_reached: Cell::new(false),
            is_evacuated: Cell::new(false),
            is_lost: Cell::new(false),
            warmup: Cell::default(),
            clock,
        }
    }

    /// Counts the endpoint as one that may have just started.
    pub(crate) fn with_unknown_start(self) -> EndpointHandle {
        self.warmup.set(Warmup::appeared(self.clock.now()));
        self
    }

    /// Counts the endpoint as unreachable until a probe has reached it.
    pub(crate) fn doubt(&self) {
        *self.health.borrow_mut() = Health::unproven(self.clock.now());
        spdlog::info!("health: endpoint={} up=false cause=Unproven", self.id());
    }

    /// Returns the node number, which identifies this incarnation on all
    /// gateways.
    pub(crate) fn node(&self) -> u64 {
        self.node
    }

    /// Returns the endpoint's identifier.
    pub(crate) fn id(&self) -> Name {
        self.endpoint.borrow().id.clone()
    }

    /// Returns the current time.
    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Records how a request ended.
    pub(crate) fn record_outcome(&self, policy: &PolicySettings, outcome: Outcome, now: Millis) {
        if matches!(outcome, Outcome::Answered | Outcome::Refused) {
            self.was_reached.set(true);
        }
        let mut health = self.health.borrow_mut();
        let was_up = health.is_up();
        health.record(policy, outcome, now);
        if was_up != health.is_up() {
            self.is_lost.set(was_up);
            let id = &self.endpoint.borrow().id;
            spdlog::info!("health: endpoint={id} up={} cause={outcome:?}", health.is_up());
        }
        if !health.is_up() {
            self.pool.clear();
        }
    }

    /// Records what the endpoint has said of itself in a response.
    pub(crate) fn record_notices(&self, metadata: &ResponseMetadata, now: Millis) {
        self.restrictions.record_notices(&self.id(), metadata, now);
    }

    /// Records that another endpoint has responded at the address.
    pub(crate) fn record_misdirection(&self, now: Millis) {
        self.restrictions.record_misdirection(&self.id(), now);
    }

    /// Logs what still holds of an incarnation that is listed again after `absent_ms`, if
    /// anything does.
    pub(crate) fn log_return(&self, absent_ms: u64) {
        self.restrictions.log_return(&self.id(), absent_ms, self.now());
    }

    /// Returns the time for which the endpoint still wants no requests, in milliseconds.
    pub(crate) fn pause_ms(&self) -> u64 {
        self.restrictions.pause_ms(self.now())
    }

    /// Applies the limits that the endpoint named at `at`; returns whether that changes them.
    pub(crate) fn observe_limits(&self, limits: EndpointLimits, at: Millis, now: Millis) -> bool {
        self.restrictions.observe_limits(&self.id(), limits, at, now)
    }

    /// Returns the limits that the endpoint has named.
    pub(crate) fn named_limits(&self) -> EndpointLimits {
        self.restrictions.limits()
    }

    /// Returns what the endpoint accepts from all gateways together: what it has named, and less
    /// while it is cold.
    pub(crate) fn limits(&self) -> EndpointLimits {
        let named = self.named_limits();
        let warmup = self.warmup();
        if !warmup.has_pace() {
            return named;
        }
        let Some(cold) = warmup.rate(self.now()) else { return named };
        let cold = cold as f32;
        EndpointLimits { rate: Some(named.rate.map_or(cold, |it| it.min(cold))), ..named }
    }

    /// Returns what is known of the endpoint's start.
    pub(crate) fn warmup(&self) -> Warmup {
        self.warmup.get()
    }

    /// Sets how the endpoints of the service start.
    pub(crate) fn set_pace(&self, pace: Option<Pace>) {
        self.update_warmup(|it| it.set_pace(pace));
    }

    /// Changes what is known of the endpoint's start; returns what `change` does.
    pub(crate) fn update_warmup<T>(&self, change: impl FnOnce(&mut Warmup) -> T) -> T {
        let mut warmup = self.warmup.get();
        let result = change(&mut warmup);
        self.warmup.set(warmup);
        result
    }

    /// Returns whether the endpoint is cold.
    pub(crate) fn is_cold(&self) -> bool {
        let warmup = self.warmup();
        warmup.has_pace() && warmup.is_cold(self.now())
    }

    /// Returns whether the endpoint limits the requests per second.
    pub(crate) fn is_rate_limited(&self) -> bool {
        self.limits().rate.is_some()
    }

    /// Returns what the endpoint bears, if it is brittle.
    pub(crate) fn capacity(&self) -> Option<Capacity> {
        let max_refusals = self.limits().max_refusals?;
        Some(Capacity { slots: self.endpoint.borrow().slots, max_refusals })
    }

    /// Returns the limits for other gateways.
    pub(crate) fn to_limit_sample(&self, now: Millis) -> LimitSample {
        self.restrictions.to_sample(self.node, now)
    }

    /// Returns the limits for other gateways, if they have changed lately.
    pub(crate) fn changed_limits(&self, now: Millis) -> Option<LimitSample> {
        self.restrictions.changed_limits(self.node, now)
    }

    /// Records that no permit for `claim` can be expected before `time`.
    pub(crate) fn deny_permits_until(&self, claim: Claim, time: Millis) {
        self.restrictions.deny_permits_until(claim, time);
    }

    /// Returns the time until the endpoint may accept a request with `claim`, in milliseconds.
    pub(crate) fn wait_ms(&self, claim: Claim) -> u64 {
        self.restrictions.wait_ms(claim, self.limits().needs_permit(), self.now())
    }

    /// Returns whether the endpoint may be sent new requests with `claim`.
    pub(crate) fn is_open(&self, claim: Claim) -> bool {
        self.is_available() && self.wait_ms(claim) == 0
    }

    /// Returns whether the endpoint may be sent new requests, now or after some time in which
    /// it accepts none.
    pub(crate) fn is_available(&self) -> bool {
        self.is_ready() && self.is_reachable()
    }

    /// Returns whether the endpoint belongs to a service.
    pub(crate) fn is_of(&self, service: &str) -> bool {
        &*self.endpoint.borrow().service == service
    }

    /// Returns whether the endpoint belongs to a group.
    pub(crate) fn is_in(&self, group: &EndpointGroup) -> bool {
        let build_key = || self.endpoint.borrow().build_key();
        self.is_of(&group.service) && group.build.is_none_or(|it| it == build_key())
    }

    /// Returns whether the endpoint accepts new requests, as far as it has said, and may be sent
    /// them.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_evacuated()
            && self.endpoint.borrow().state == EndpointState::Ready
            && !self.restrictions.is_leaving()
    }

    /// Returns whether the endpoint's data centre is evacuated.
    pub(crate) fn is_evacuated(&self) -> bool {
        self.is_evacuated.get()
    }

    /// Records whether the endpoint's data centre is evacuated; returns whether it was before.
    pub(crate) fn set_evacuated(&self, is_evacuated: bool) -> bool {
        self.is_evacuated.replace(is_evacuated)
    }

    /// Records that the endpoint has sent something after it was silent.
    pub(crate) fn mark_responsive(&self) {
        let mut health = self.health.borrow_mut();
        if !health.is_up() {
            spdlog::info!("health: endpoint={} up=true cause=responded", self.id());
        }
        health.mark_reachable();
    }

    /// Returns whether the endpoint is believed to be reachable.
    pub(crate) fn is_reachable(&self) -> bool {
        self.health.borrow().is_up()
    }

    /// Returns whether the endpoint has accepted a connection or responded before.
    pub(crate) fn was_reached(&self) -> bool {
        self.was_reached.get()
    }

    /// Returns the numbers of successes and failures of this gateway's recent
    /// requests.
    pub(crate) fn tally(&self, now: Millis) -> Tally {
        self.health.borrow().tally(now)
    }

    /// Returns whether the endpoint last reported that all its slots are in
    /// use.
    pub(crate) fn is_busy(&self) -> bool {
        self.load.is_busy(self.endpoint.borrow().slots)
    }

    /// Returns the load that the endpoint reported to this gateway, if it is
    /// recent.
    pub(crate) fn to_load_sample(&self, now: Millis) -> Option<LoadSample> {
        self.load.to_sample(self.node, now)
    }

    /// Returns the last load that the endpoint reported.
    pub(crate) fn report(&self, now: Millis) -> Option<Report> {
        self.load.report(now)
    }

    /// Tries to connect to the endpoint, and records whether that succeeds; returns it.
    pub(crate) async fn try_once(&self, policy: &PolicySettings) -> bool {
        let is_reached = self.pool.try_connect().await;
        match is_reached {
            true => self.was_reached.set(true),
            false => self.record_outcome(policy, Outcome::Unreachable, self.clock.now()),
        }
        is_reached
    }

    /// Probes the endpoint with a connection, if it is down and due for a
    /// probe; returns whether it was lost and is back.
    pub(crate) async fn probe(&self, now: Millis) -> bool {
        if !self.health.borrow_mut().take_probe(now) {
            return false;
        }
        if !self.pool.try_connect().await {
            return false;
        }
        self.was_reached.set(true);
        self.health.borrow_mut().mark_reachable();
        spdlog::info!("health: endpoint={} up=true cause=connected", self.id());
        self.is_lost.take()
    }
}

/// Returns the node number of an endpoint, which identifies its incarnation.
pub(crate) fn node_number(endpoint: &Endpoint) -> u64 {
    let started_ms = endpoint.started_ms.unwrap_or_default();
    hash64(format!("{}\n{started_ms}\n{}", endpoint.id, endpoint.address).as_bytes())
}
