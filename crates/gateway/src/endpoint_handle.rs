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
    load::{self, MeanDuration, Report},
    permits::Claim,
    placement::Candidate,
};

use crate::{
    clock::Clock, dialect::ResponseMetadata, endpoint_limits::ObservedLimits, loads::Loads,
    pool::Pool,
};

/// Age up to which the load that an endpoint reported is sent to other
/// gateways, in milliseconds.
const MAX_SAMPLE_AGE_MS: u64 = 2_000;

/// The load that an endpoint reported in a response.
#[derive(Debug, Clone, Copy)]
struct ReportedLoad {
    load: u32,
    at: Millis,
    /// Whether the endpoint reported it to this gateway, not to a peer.
    is_direct: bool,
}

/// Connections, load and health of one incarnation of an endpoint.
#[derive(Debug)]
pub(crate) struct EndpointHandle {
    pub(crate) endpoint: RefCell<Endpoint>,
    pub(crate) pool: Pool,
    node: u64,
    /// Number of this gateway's requests in flight.
    in_flight: Cell<u32>,
    reported: Cell<Option<ReportedLoad>>,
    /// Whether the endpoint has said that it is shutting down.
    is_leaving: Cell<bool>,
    /// Time before which the endpoint wants no requests.
    paused_until: Cell<Millis>,
    /// What the endpoint accepts from all gateways together.
    limits: Cell<ObservedLimits>,
    /// Time before which no permit for the endpoint can be expected.
    permits_from: Cell<Millis>,
    /// Time before which no permit can be expected to be left over.
    spare_from: Cell<Millis>,
    health: RefCell<Health>,
    /// Whether the endpoint has accepted a connection or responded.
    was_reached: Cell<bool>,
    /// Mean duration of the requests of the endpoint's service.
    mean_duration: Rc<Cell<MeanDuration>>,
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
            node,
            in_flight: Cell::new(0),
            reported: Cell::new(None),
            is_leaving: Cell::new(false),
            paused_until: Cell::default(),
            limits: Cell::default(),
            permits_from: Cell::default(),
            spare_from: Cell::default(),
            health: RefCell::default(),
            was_reached: Cell::new(false),
            mean_duration,
            clock,
        }
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

    /// Returns the number of this gateway's requests in flight.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.get()
    }

    /// Returns the mean duration of the requests of the endpoint's service.
    pub(crate) fn mean_duration(&self) -> MeanDuration {
        self.mean_duration.get()
    }

    /// Counts a request of this gateway as in flight; returns the current time.
    pub(crate) fn add_request(&self) -> Millis {
        self.in_flight.set(self.in_flight.get() + 1);
        self.clock.now()
    }

    /// Stops counting a request of this gateway that was in flight since `started`.
    pub(crate) fn remove_request(&self, started: Millis) {
        self.in_flight.set(self.in_flight.get() - 1);
        let mut mean_duration = self.mean_duration.get();
        mean_duration.record(self.clock.now().since(started));
        self.mean_duration.set(mean_duration);
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
            let id = &self.endpoint.borrow().id;
            spdlog::info!("health: endpoint={id} up={} cause={outcome:?}", health.is_up());
        }
        if !health.is_up() {
            self.pool.clear();
        }
    }

    /// Records what the endpoint has said of itself in a response.
    pub(crate) fn record_notices(&self, metadata: &ResponseMetadata, now: Millis) {
        if metadata.leaving && !self.is_leaving.replace(true) {
            spdlog::info!("health: endpoint={} leaving=true", self.id());
        }
        if let Some(pause_ms) = metadata.pause_ms {
            spdlog::info!("health: endpoint={} pause_ms={pause_ms}", self.id());
            self.paused_until.set(self.paused_until.get().max(now + pause_ms));
        }
    }

    /// Logs what still holds of an incarnation that is listed again after `absent_ms`, if
    /// anything does.
    pub(crate) fn log_return(&self, absent_ms: u64) {
        if self.pause_ms() == 0 && !self.is_leaving.get() && !self.limits().needs_permit() {
            return;
        }
        spdlog::info!(
            "health: endpoint={} returned=true absent_ms={absent_ms} pause_ms={} leaving={} \
             rate_limit={:?}",
            self.id(),
            self.pause_ms(),
            self.is_leaving.get(),
            self.limits().rate
        );
    }

    /// Returns the time for which the endpoint still wants no requests, in milliseconds.
    pub(crate) fn pause_ms(&self) -> u64 {
        self.paused_until.get().since(self.clock.now())
    }

    /// Applies the limits that the endpoint named at `at`; returns whether that changes them.
    pub(crate) fn observe_limits(&self, limits: EndpointLimits, at: Millis, now: Millis) -> bool {
        let mut observed = self.limits.get();
        let has_changed = observed.observe(limits, at, now);
        self.limits.set(observed);
        if has_changed {
            self.permits_from.set(now);
            self.spare_from.set(now);
            let EndpointLimits { rate, max_refusals } = limits;
            spdlog::info!(
                "health: endpoint={} rate_limit={rate:?} max_refusals={max_refusals:?}",
                self.id()
            );
        }
        has_changed
    }

    /// Returns what the endpoint accepts from all gateways together.
    pub(crate) fn limits(&self) -> EndpointLimits {
        self.limits.get().limits
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
        self.limits.get().to_sample(self.node, now)
    }

    /// Returns the limits for other gateways, if they have changed lately.
    pub(crate) fn changed_limits(&self, now: Millis) -> Option<LimitSample> {
        self.limits.get().is_news(now).then(|| self.to_limit_sample(now))
    }

    /// Records that no permit for `claim` can be expected before `time`.
    pub(crate) fn deny_permits_until(&self, claim: Claim, time: Millis) {
        self.permits_from(claim).set(time);
    }

    fn permits_from(&self, claim: Claim) -> &Cell<Millis> {
        match claim {
            Claim::Preferred => &self.permits_from,
            Claim::Spare => &self.spare_from,
        }
    }

    /// Returns the time until the endpoint may accept a request with `claim`, in milliseconds.
    pub(crate) fn wait_ms(&self, claim: Claim) -> u64 {
        if !self.limits().needs_permit() {
            return self.pause_ms();
        }
        self.pause_ms().max(self.permits_from(claim).get().since(self.clock.now()))
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

    /// Returns whether the endpoint accepts new requests, as far as it has said.
    pub(crate) fn is_ready(&self) -> bool {
        self.endpoint.borrow().state == EndpointState::Ready && !self.is_leaving.get()
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
        self.reported.get().is_some_and(|it| it.load >= self.endpoint.borrow().slots)
    }

    /// Records the load that the endpoint reported to this gateway.
    pub(crate) fn record_load(&self, load: u32, now: Millis) {
        self.reported.set(Some(ReportedLoad { load, at: now, is_direct: true }));
    }

    /// Returns the load that the endpoint reported to this gateway, if it is
    /// recent.
    pub(crate) fn to_sample(&self, now: Millis) -> Option<LoadSample> {
        let report = self.reported.get().filter(|it| it.is_direct)?;
        let age_ms = now.since(report.at);
        (age_ms < MAX_SAMPLE_AGE_MS).then(|| LoadSample::new(self.node, report.load, age_ms))
    }

    /// Applies the load that the endpoint reported to another gateway, if that
    /// is newer than the last known one.
    pub(crate) fn apply_sample(&self, sample: &LoadSample, now: Millis) {
        let at = now - sample.age_ms();
        if self.reported.get().is_none_or(|known| known.at < at) {
            self.reported.set(Some(ReportedLoad { load: sample.load(), at, is_direct: false }));
        }
    }

    /// Returns the last load that the endpoint reported.
    pub(crate) fn report(&self, now: Millis) -> Option<Report> {
        let reported = self.reported.get()?;
        Some(Report { load: reported.load.into(), age_ms: now.since(reported.at) })
    }

    /// Returns the endpoint as a candidate for placement; `known_load` is the
    /// estimate from the requests of all gateways.
    pub(crate) fn to_candidate(
        &self,
        known_load: f64,
        data_centre: &str,
        loads: &Loads,
        now: Millis,
    ) -> Candidate {
        let tally = self.tally(now) + loads.peer_outcomes(self.node);
        Candidate {
            node: self.node,
            load: load::with_report(known_load, self.report(now), loads.max_report_age_ms()),
            is_local: &*self.endpoint.borrow().data_centre == data_centre,
            failure_rate: tally.failure_rate(),
            refusal_rate: tally.refusal_rate(),
        }
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
    /// probe.
    pub(crate) async fn probe(&self, now: Millis) {
        if !self.health.borrow_mut().take_probe(now) {
            return;
        }
        if self.pool.try_connect().await {
            self.was_reached.set(true);
            self.health.borrow_mut().mark_reachable();
            spdlog::info!("health: endpoint={} up=true cause=connected", self.id());
        }
    }
}

/// Returns the node number of an endpoint, which identifies its incarnation.
pub(crate) fn node_number(endpoint: &Endpoint) -> u64 {
    let started_ms = endpoint.started_ms.unwrap_or_default();
    hash64(format!("{}\n{started_ms}\n{}", endpoint.id, endpoint.address).as_bytes())
}
