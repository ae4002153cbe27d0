//! A service of few endpoints that report no load, behind many gateways of which each
//! sees a few requests a second: the gateways must not all choose the same endpoint.
//!
//! The pattern: gateways learn of each other's requests with heartbeats, long after
//! these requests have ended, and share which endpoints have refused requests.

use std::collections::VecDeque;

use mimosaledge_core::{Millis, hash::hash64};
use mimosaledge_policy::{
    PolicySettings,
    even_choice::{self, Backlog},
    health::{Health, Outcome, Tally},
    load::{self, Counts, MeanDuration},
    load_forecast::{Forecast, Known},
    placement::{Candidate, choose},
    slowness::Slowness,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// Requests that an endpoint runs at once, and those that wait there.
const SLOTS: usize = 6;
const QUEUE: usize = 24;
const WORK_MS: f64 = 30.0;
/// Requests arrive in groups of this size at different gateways.
const GROUP: usize = 3;
/// Latency within which a response is in time, in milliseconds.
const GOAL_MS: u64 = 150;
const SECONDS: u64 = 20;
/// Time within which all gateways have started, which is the spread of heartbeats.
const START_SPREAD_MS: u64 = 300;
const RTT_MS: u64 = 2;

struct Scenario {
    gateways: usize,
    endpoints: usize,
    requests_per_s: u64,
    heartbeat_ms: u64,
    /// Whether gateways tell each other their requests in flight.
    shares_counts: bool,
    /// Whether they choose by the age of what they know, not the better of two.
    is_even: bool,
}

#[derive(Debug, Default)]
struct Shares {
    in_time: f64,
    refused: f64,
}

struct Running {
    gateway: usize,
    sent: u64,
}

#[derive(Default)]
struct Endpoint {
    /// Running requests by end time.
    slots: Vec<(u64, Running)>,
    queue: VecDeque<Running>,
}

#[derive(Clone, Default)]
struct Gateway {
    own: Vec<u32>,
    health: Vec<Health>,
    mean_duration: MeanDuration,
}

/// What a gateway last told the others.
#[derive(Clone, Default)]
struct Report {
    requests: Vec<u32>,
    tallies: Vec<Tally>,
    at: u64,
}

struct Fleet {
    scenario: Scenario,
    gateways: Vec<Gateway>,
    reports: Vec<Report>,
    endpoints: Vec<Endpoint>,
    random: Pcg64,
    in_time: u32,
    refused: u32,
    requests: u32,
}

impl Fleet {
    fn new(scenario: Scenario) -> Fleet {
        let endpoints = scenario.endpoints;
        let gateway = Gateway {
            own: vec![0; endpoints],
            health: vec![Health::default(); endpoints],
            mean_duration: MeanDuration::default(),
        };
        let report = Report {
            requests: vec![0; endpoints],
            tallies: vec![Tally::default(); endpoints],
            at: 0,
        };
        Fleet {
            gateways: vec![gateway; scenario.gateways],
            reports: vec![report; scenario.gateways],
            endpoints: (0..endpoints).map(|_| Endpoint::default()).collect(),
            random: Pcg64::seed_from_u64(5),
            scenario,
            in_time: 0,
            refused: 0,
            requests: 0,
        }
    }

    fn work_ms(&mut self) -> u64 {
        let uniform: f64 = self.random.random_range(0.5..1.5);
        (WORK_MS * uniform) as u64
    }

    fn finish_requests(&mut self, now: u64) {
        for index in 0..self.endpoints.len() {
            let (done, running): (Vec<_>, Vec<_>) =
                std::mem::take(&mut self.endpoints[index].slots)
                    .into_iter()
                    .partition(|it| it.0 <= now);
            self.endpoints[index].slots = running;
            for (_, it) in done {
                let gateway = &mut self.gateways[it.gateway];
                let latency_ms = now - it.sent + RTT_MS;
                gateway.own[index] -= 1;
                gateway.mean_duration.record(latency_ms);
                gateway.health[index].record(
                    &PolicySettings::default(),
                    Outcome::Answered,
                    Millis(now),
                );
                self.in_time += u32::from(latency_ms <= GOAL_MS);
            }
            while self.endpoints[index].slots.len() < SLOTS {
                let Some(next) = self.endpoints[index].queue.pop_front() else { break };
                let end = now + self.work_ms();
                self.endpoints[index].slots.push((end, next));
            }
        }
    }

    fn send_heartbeats(&mut self, now: u64) {
        for (at, gateway) in self.gateways.iter().enumerate() {
            let phase = at as u64 * START_SPREAD_MS / self.gateways.len() as u64;
            if (now + phase).is_multiple_of(self.scenario.heartbeat_ms) {
                let tallies = gateway.health.iter().map(|it| it.tally(Millis(now))).collect();
                self.reports[at] = Report { requests: gateway.own.clone(), tallies, at: now };
            }
        }
    }

    fn candidates(&self, gateway: usize, now: u64) -> Vec<Candidate> {
        let own = &self.gateways[gateway];
        let peers = || self.reports.iter().enumerate().filter(|(at, _)| *at != gateway);
        let (counts, age_ms) = self.counts(gateway, now);
        let loads = load::estimate(&counts, own.mean_duration.remaining_share(age_ms));
        let tally = |endpoint: usize| {
            let own = own.health[endpoint].tally(Millis(now));
            peers().fold(own, |sum, (_, it)| sum + it.tallies[endpoint])
        };
        (0..self.endpoints.len())
            .map(|it| Candidate {
                node: hash64(&(it as u64).to_le_bytes()),
                load: loads[it],
                is_local: gateway % 3 == it % 3,
                failure_rate: tally(it).failure_rate(),
                refusal_rate: tally(it).refusal_rate(),
                slowness: Slowness::USUAL,
            })
            .collect()
    }

    /// Returns the requests that a gateway knows of, and the age of those of the others.
    fn counts(&self, gateway: usize, now: u64) -> (Vec<Counts>, u64) {
        let peers = || self.reports.iter().enumerate().filter(|(at, _)| *at != gateway);
        let ages: u64 = peers().map(|(_, it)| now - it.at).sum();
        let age_ms = ages / peers().count().max(1) as u64;
        let reported =
            |endpoint: usize| -> u32 { peers().map(|(_, it)| it.requests[endpoint]).sum() };
        let count = |it: usize| Counts {
            own: self.gateways[gateway].own[it].into(),
            peers: if self.scenario.shares_counts { reported(it).into() } else { 0.0 },
        };
        ((0..self.endpoints.len()).map(count).collect(), age_ms)
    }

    fn choose_evenly(
        &self,
        gateway: usize,
        candidates: &[Candidate],
        random: u64,
        now: u64,
    ) -> Option<usize> {
        let (counts, counts_age_ms) = self.counts(gateway, now);
        let known: Vec<Known> = counts
            .into_iter()
            .map(|counts| Known { counts, counts_age_ms, report: None, own_since: 0.0 })
            .collect();
        let forecast = Forecast::new(&known, self.gateways[gateway].mean_duration);
        let loads = forecast.loads().into_iter().zip(forecast.offsets());
        let backlogs: Vec<Backlog> = candidates
            .iter()
            .zip(loads)
            .map(|(it, (load, offset))| Backlog {
                load: load + offset,
                pace: 1.0,
                passed_over: it.refusal_rate,
            })
            .collect();
        even_choice::choose(&backlogs, forecast.unsettled(), random)
    }

    fn send_request(&mut self, now: u64) {
        let gateway = self.random.random_range(0..self.gateways.len());
        self.requests += 1;
        let candidates = self.candidates(gateway, now);
        let random = self.random.random();
        let index = match self.scenario.is_even {
            true => self.choose_evenly(gateway, &candidates, random, now),
            false => choose(&PolicySettings::default(), None, &candidates, random),
        }
        .unwrap();
        let endpoint = &mut self.endpoints[index];
        if endpoint.slots.len() + endpoint.queue.len() >= SLOTS + QUEUE {
            self.refused += 1;
            self.gateways[gateway].health[index].record(
                &PolicySettings::default(),
                Outcome::Refused,
                Millis(now),
            );
            return;
        }
        endpoint.queue.push_back(Running { gateway, sent: now });
        self.gateways[gateway].own[index] += 1;
    }

    fn run(mut self) -> Shares {
        let group_interval_ms = 1_000.0 * GROUP as f64 / self.scenario.requests_per_s as f64;
        let mut next_group = 0.0;
        for now in 0..SECONDS * 1_000 {
            self.finish_requests(now);
            self.send_heartbeats(now);
            while next_group <= now as f64 {
                for _ in 0..GROUP {
                    self.send_request(now);
                }
                next_group += group_interval_ms * self.random.random_range(0.0..2.0);
            }
        }
        let requests = f64::from(self.requests);
        Shares {
            in_time: f64::from(self.in_time) / requests,
            refused: f64::from(self.refused) / requests,
        }
    }
}

/// Names a case; all load two thirds of what the endpoints can run.
macro_rules! cases {
    ($($name:ident: $gateways:expr, $endpoints:expr, $per_s:expr, $heartbeat_ms:expr, $counts:expr;)*) => {
        $(
            #[test]
            fn $name() {
                for is_even in [false, true] {
                    let shares = Fleet::new(Scenario {
                        gateways: $gateways,
                        endpoints: $endpoints,
                        requests_per_s: $per_s,
                        heartbeat_ms: $heartbeat_ms,
                        shares_counts: $counts,
                        is_even,
                    })
                    .run();
                    assert!(shares.refused < 0.01 && shares.in_time > 0.97, "{is_even} {shares:?}");
                }
            }
        )*
    };
}

cases! {
    one_gateway_uses_both_endpoints: 1, 2, 260, 400, true;
    few_gateways_use_both_endpoints: 8, 2, 260, 472, true;
    many_gateways_use_both_endpoints: 87, 2, 260, 1_183, true;
    many_gateways_use_three_endpoints: 87, 3, 390, 1_183, true;
    large_fleet_uses_both_endpoints: 340, 2, 260, 4_000, false;
}
