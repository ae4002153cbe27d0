//! The endpoints as the request path sees them.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
};

use mimosaledge_core::{Millis, Name, hash::hash64};
use mimosaledge_policy::{
    Endpoint, EndpointState,
    health::{Health, Outcome, Tally},
    placement::Candidate,
};

use crate::{
    clock::Clock,
    loads::{Loads, Sample},
    pool::Pool,
};

/// Age up to which a load that an endpoint told is passed on, in milliseconds.
const PASS_ON_MS: u64 = 2_000;

/// The load that an endpoint told in an answer.
#[derive(Debug, Clone, Copy)]
struct Report {
    load: u32,
    at: Millis,
    /// Whether it told this gateway itself.
    is_own: bool,
}

/// One endpoint's process.
#[derive(Debug)]
pub(crate) struct Slot {
    pub(crate) endpoint: RefCell<Endpoint>,
    pub(crate) pool: Pool,
    node: u64,
    in_flight: Cell<u32>,
    reported: Cell<Option<Report>>,
    health: RefCell<Health>,
}

impl Slot {
    fn new(endpoint: Endpoint, clock: Clock) -> Slot {
        let node = node_number(&endpoint);
        let pool = Pool::new(endpoint.address, clock);
        Slot {
            endpoint: RefCell::new(endpoint),
            pool,
            node,
            in_flight: Cell::new(0),
            reported: Cell::new(None),
            health: RefCell::default(),
        }
    }

    /// Returns the number that all gateways give this incarnation.
    pub(crate) fn node(&self) -> u64 {
        self.node
    }

    /// Returns the endpoint's identifier.
    pub(crate) fn id(&self) -> Name {
        self.endpoint.borrow().id.clone()
    }

    /// Counts a request of this gateway.
    pub(crate) fn enter(&self) {
        self.in_flight.set(self.in_flight.get() + 1);
    }

    /// Stops counting a request of this gateway.
    pub(crate) fn leave(&self) {
        self.in_flight.set(self.in_flight.get() - 1);
    }

    /// Notes how a request ended.
    pub(crate) fn note(&self, outcome: Outcome, now: Millis) {
        let mut health = self.health.borrow_mut();
        let was_up = health.is_up();
        health.record(outcome, now);
        if was_up != health.is_up() {
            let id = &self.endpoint.borrow().id;
            spdlog::info!("health: endpoint={id} up={} cause={outcome:?}", health.is_up());
        }
        if !health.is_up() {
            self.pool.clear();
        }
    }

    /// Returns whether new requests may be sent here.
    pub(crate) fn is_open(&self) -> bool {
        self.endpoint.borrow().state == EndpointState::Ready && self.health.borrow().is_up()
    }

    /// Returns whether the endpoint can be reached, as far as known.
    pub(crate) fn is_reachable(&self) -> bool {
        self.health.borrow().is_up()
    }

    /// Returns how this gateway's latest requests ended.
    pub(crate) fn tally(&self, now: Millis) -> Tally {
        self.health.borrow().tally(now)
    }

    /// Returns whether the endpoint has told that all its slots are taken.
    pub(crate) fn is_busy(&self) -> bool {
        self.reported.get().is_some_and(|it| it.load >= self.endpoint.borrow().slots)
    }

    /// Notes the load that the endpoint told.
    pub(crate) fn report(&self, load: u32, now: Millis) {
        self.reported.set(Some(Report { load, at: now, is_own: true }));
    }

    /// Returns the load that the endpoint has told this gateway lately.
    pub(crate) fn to_sample(&self, now: Millis) -> Option<Sample> {
        let report = self.reported.get().filter(|it| it.is_own)?;
        let age_ms = now.since(report.at);
        (age_ms < PASS_ON_MS).then(|| Sample::new(self.node, report.load, age_ms))
    }

    /// Takes in the load that the endpoint told another gateway.
    fn take_sample(&self, sample: &Sample, now: Millis) {
        let at = now - sample.age_ms();
        if self.reported.get().is_none_or(|known| known.at < at) {
            self.reported.set(Some(Report { load: sample.load(), at, is_own: false }));
        }
    }

    /// Returns the requests that the endpoint holds, as far as known.
    fn load(&self, loads: &Loads, now: Millis) -> u32 {
        let known = self.in_flight.get() + loads.at_peers(self.node);
        let fresh = self.reported.get().filter(|it| now.since(it.at) < loads.max_report_age());
        fresh.map_or(known, |it| known.max(it.load))
    }

    /// Describes the endpoint for placement.
    pub(crate) fn to_candidate(&self, data_centre: &str, loads: &Loads, now: Millis) -> Candidate {
        Candidate {
            node: self.node,
            load: f64::from(self.load(loads, now)),
            is_local: &*self.endpoint.borrow().data_centre == data_centre,
            failure_rate: (self.tally(now) + loads.outcomes(self.node)).failure_rate(),
        }
    }

    /// Tries an endpoint that is down, if it is due for a trial.
    pub(crate) async fn try_again(&self, now: Millis) {
        if !self.health.borrow_mut().take_probe(now) {
            return;
        }
        if self.pool.try_connect().await {
            self.health.borrow_mut().mark_reachable();
            spdlog::info!("health: endpoint={} up=true cause=connected", self.id());
        }
    }
}

/// All endpoints, by service.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    slots: HashMap<u64, Rc<Slot>>,
    /// The same by the short numbers that heartbeats use.
    short: HashMap<u32, Rc<Slot>>,
    services: HashMap<Name, Vec<Rc<Slot>>>,
}

impl Fleet {
    /// Brings the endpoints in line with the list; requests under way at one
    /// that has gone go on.
    pub(crate) fn update<'a>(&mut self, listed: impl Iterator<Item = &'a Endpoint>, clock: Clock) {
        let mut before = std::mem::take(&mut self.slots);
        self.services.clear();
        self.short.clear();
        for endpoint in listed {
            let node = node_number(endpoint);
            let slot = match before.remove(&node) {
                Some(slot) => {
                    *slot.endpoint.borrow_mut() = endpoint.clone();
                    slot
                }
                None => Rc::new(Slot::new(endpoint.clone(), clock)),
            };
            self.services.entry(endpoint.service.clone()).or_default().push(slot.clone());
            self.short.insert(node as u32, slot.clone());
            self.slots.insert(node, slot);
        }
        for slot in before.values() {
            slot.pool.clear();
        }
    }

    /// Returns the endpoints of a service.
    pub(crate) fn of_service(&self, service: &str) -> &[Rc<Slot>] {
        self.services.get(service).map_or(&[], |it| it.as_slice())
    }

    /// Takes in the load that an endpoint told another gateway.
    pub(crate) fn take_sample(&self, sample: &Sample, now: Millis) {
        if let Some(slot) = self.short.get(&sample.endpoint()) {
            slot.take_sample(sample, now);
        }
    }

    /// Returns all endpoints.
    pub(crate) fn slots(&self) -> impl Iterator<Item = &Rc<Slot>> {
        self.slots.values()
    }
}

fn node_number(endpoint: &Endpoint) -> u64 {
    let born = endpoint.started_ms.unwrap_or_default();
    hash64(format!("{}\n{born}\n{}", endpoint.id, endpoint.address).as_bytes())
}
