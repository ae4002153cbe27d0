//! A simulated fleet that places requests by the policies: many gateways that know of each
//! other's requests from heartbeats only, in front of the same engines.

use mimosaledge_core::{Millis, hash::hash64};
use mimosaledge_policy::{
    PolicySettings,
    admission::{Progress, load_limit},
    arrival_rate::ArrivalRate,
    load::{self, Counts, MAX_REPORT_AGE_MS, MeanDuration, Report},
    placement::{Candidate, LoadLimit, Placement, Prefix, place},
    slowness::Slowness,
    unreported::Unreported,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::engine::{CLASSES, Engine, Job, SLOTS, TICK_MS};

/// Load cap of an engine: a multiple of the mean load, plus a number of requests.
const LOAD_CAP: (f64, f64) = (2.0, 3.0);
/// Number of prompt prefixes that requests share.
const SESSIONS: u64 = 700;

/// A fleet and the requests that it gets.
pub(crate) struct Scenario {
    pub(crate) gateways: usize,
    pub(crate) engines: usize,
    /// Interval between two heartbeats of a gateway, in milliseconds.
    pub(crate) heartbeat_ms: u64,
    /// Time within which all gateways start, in milliseconds.
    pub(crate) start_ms: u64,
    /// Requests of all classes in each second.
    pub(crate) requests_per_s: Vec<f64>,
    /// Share of heartbeats that reach nobody.
    pub(crate) lost_heartbeats: f64,
    /// Times at which as many gateways are killed and start again, in milliseconds.
    pub(crate) restarts: Vec<(u64, usize)>,
    pub(crate) policy: PolicySettings,
    pub(crate) seed: u64,
}

/// What becomes of the requests of one second.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Second {
    pub(crate) placed: u32,
    /// Requests placed on an engine over the cap.
    pub(crate) over_cap: u32,
}

/// What becomes of all requests.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) seconds: Vec<Second>,
    /// Requests of each class.
    pub(crate) offered: [u32; CLASSES.len()],
    /// Those that began within their latency goal and finished.
    pub(crate) served: [u32; CLASSES.len()],
}

impl Outcome {
    /// Returns the share of the requests of each class that were served.
    pub(crate) fn served_shares(&self) -> [f64; CLASSES.len()] {
        std::array::from_fn(|at| f64::from(self.served[at]) / f64::from(self.offered[at]))
    }

    /// Returns the greatest share of the requests of `window` seconds in a row that were placed
    /// on an engine over the cap.
    pub(crate) fn worst_over_cap(&self, window: usize) -> f64 {
        let share = |it: &[Second]| {
            let placed: u32 = it.iter().map(|it| it.placed).sum();
            f64::from(it.iter().map(|it| it.over_cap).sum::<u32>()) / f64::from(placed.max(1))
        };
        self.seconds.windows(window).map(share).fold(0.0, f64::max)
    }
}

#[derive(Clone, Default)]
struct Gateway {
    /// Own requests in flight at each engine.
    own: Vec<u32>,
    /// Those in the last heartbeat.
    reported: Vec<u32>,
    reported_at: Millis,
    started: Millis,
    mean_duration: MeanDuration,
    arrivals: ArrivalRate,
    /// Load that each engine reported last, and when.
    engine_loads: Vec<(f64, Millis)>,
}

impl Gateway {
    fn start(engines: usize, now: u64) -> Gateway {
        Gateway {
            own: vec![0; engines],
            reported: vec![0; engines],
            started: Millis(now),
            engine_loads: vec![(0.0, Millis(0)); engines],
            ..Gateway::default()
        }
    }
}

struct Fleet {
    gateways: Vec<Gateway>,
    engines: Vec<Engine>,
    outcome: Outcome,
    scenario: Scenario,
    random: Pcg64,
}

impl Fleet {
    fn new(scenario: Scenario) -> Fleet {
        let engines = scenario.engines;
        Fleet {
            gateways: vec![Gateway::start(engines, 0); scenario.gateways],
            engines: (0..engines).map(|_| Engine::default()).collect(),
            outcome: Outcome::default(),
            random: Pcg64::seed_from_u64(scenario.seed),
            scenario,
        }
    }

    fn send_heartbeats(&mut self, now: u64) {
        let Scenario { heartbeat_ms, start_ms, lost_heartbeats, .. } = self.scenario;
        let count = self.gateways.len() as u64;
        for (at, gateway) in self.gateways.iter_mut().enumerate() {
            let phase = at as u64 * start_ms / count;
            if (now + heartbeat_ms - phase) % heartbeat_ms >= TICK_MS {
                continue;
            }
            if self.random.random_bool(lost_heartbeats) {
                continue;
            }
            gateway.reported = gateway.own.clone();
            gateway.reported_at = Millis(now);
        }
    }

    fn run_engines(&mut self, now: u64) {
        for (at, engine) in self.engines.iter_mut().enumerate() {
            for job in engine.tick(now) {
                let gateway = &mut self.gateways[job.gateway];
                gateway.own[at] -= 1;
                gateway.mean_duration.record(now - job.arrived);
                let goal_ms = CLASSES[job.class].latency_goal_ms;
                let is_in_time = job.started.is_some_and(|it| it - job.arrived <= goal_ms);
                self.outcome.served[job.class] += u32::from(job.is_finished() && is_in_time);
            }
            let load = engine.load() as f64;
            for job in engine.running.iter().filter(|it| it.started == Some(now)) {
                self.gateways[job.gateway].engine_loads[at] = (load, Millis(now));
            }
        }
    }

    /// Kills gateways, which ends their requests, and starts them again.
    fn restart_gateways(&mut self, now: u64) {
        let due = self.scenario.restarts.iter().filter(|it| it.0 == now);
        let count = due.map(|it| it.1).sum::<usize>();
        for at in 0..count {
            self.gateways[at] = Gateway::start(self.engines.len(), now);
        }
        for engine in &mut self.engines {
            engine.running.retain(|it| it.gateway >= count);
            engine.queue.retain(|it| it.gateway >= count);
        }
    }

    /// Returns the other gateways that a gateway has heard of since it started.
    fn heard_by(&self, at: usize) -> Vec<&Gateway> {
        let started = self.gateways[at].started;
        let others = self.gateways.iter().enumerate().filter(|it| it.0 != at).map(|it| it.1);
        others.filter(|it| it.reported_at >= started).collect()
    }

    fn candidates(
        &self,
        at: usize,
        heard: &[&Gateway],
        remaining_share: f64,
        now: u64,
    ) -> Vec<Candidate> {
        let gateway = &self.gateways[at];
        let reported = |engine: usize| heard.iter().map(|it| it.reported[engine]).sum::<u32>();
        let counts: Vec<Counts> = (0..self.engines.len())
            .map(|it| Counts { own: gateway.own[it].into(), peers: reported(it).into() })
            .collect();
        let loads = load::estimate(&counts, remaining_share);
        let candidate = |(engine, load): (usize, f64)| {
            let (reported, reported_at) = gateway.engine_loads[engine];
            let report = Report { load: reported, age_ms: Millis(now).since(reported_at) };
            Candidate {
                node: hash64(&engine.to_le_bytes()),
                load: load::with_report(load, Some(report), MAX_REPORT_AGE_MS),
                is_local: true,
                failure_rate: 0.0,
                refusal_rate: 0.0,
                slowness: Slowness::USUAL,
            }
        };
        loads.into_iter().enumerate().map(candidate).collect()
    }

    /// Places a request that arrives at a random gateway.
    fn receive(&mut self, class: usize, now: u64) {
        let policy = self.scenario.policy;
        let at = self.random.random_range(0..self.gateways.len());
        let session: u64 = self.random.random_range(0..SESSIONS);
        let random = self.random.random();
        self.outcome.offered[class] += 1;
        self.gateways[at].arrivals.record(Millis(now));
        let gateway = &self.gateways[at];
        let heard = self.heard_by(at);
        let ages = heard.iter().map(|it| Millis(now).since(it.reported_at));
        let age_ms = ages.sum::<u64>() / heard.len().max(1) as u64;
        let remaining_share = gateway.mean_duration.remaining_share(age_ms);
        let own_per_ms = gateway.arrivals.per_ms(Millis(now));
        let limit = LoadLimit {
            limit: load_limit(&policy, SLOTS, CLASSES[class].priority, Progress::New),
            unreported: Unreported::estimate(own_per_ms, heard.len(), age_ms, remaining_share),
        };
        let prefix = Prefix { key: hash64(&session.to_le_bytes()), running: 1.0 };
        let candidates = self.candidates(at, &heard, remaining_share, now);
        let placement = place(&policy, Some(limit), Some(prefix), &candidates, random);
        let Placement::Candidate { index, .. } = placement else { return };
        let total: usize = self.engines.iter().map(Engine::load).sum();
        let cap = LOAD_CAP.0 * total as f64 / self.engines.len() as f64 + LOAD_CAP.1;
        let second = &mut self.outcome.seconds[(now / 1_000) as usize];
        second.placed += 1;
        second.over_cap += u32::from(self.engines[index].load() as f64 > cap);
        self.engines[index].queue.push_back(Job::new(class, at, now));
        self.gateways[at].own[index] += 1;
    }
}

/// Simulates a scenario.
pub(crate) fn simulate(scenario: Scenario) -> Outcome {
    let requests_per_s = scenario.requests_per_s.clone();
    let class_total: f64 = CLASSES.iter().map(|it| it.requests_per_s).sum();
    let mut fleet = Fleet::new(scenario);
    fleet.outcome.seconds = vec![Second::default(); requests_per_s.len()];
    for now in (0..requests_per_s.len() as u64 * 1_000).step_by(TICK_MS as usize) {
        fleet.restart_gateways(now);
        fleet.send_heartbeats(now);
        fleet.run_engines(now);
        let per_tick = requests_per_s[(now / 1_000) as usize] * TICK_MS as f64 / 1_000.0;
        for (at, class) in CLASSES.iter().enumerate() {
            let mut due = per_tick * class.requests_per_s / class_total;
            while due > 0.0 && fleet.random.random_bool(due.min(1.0)) {
                due -= 1.0;
                fleet.receive(at, now);
            }
        }
    }
    fleet.outcome
}
