//! A fleet in front of endpoints that differ in speed.

use std::collections::VecDeque;

use mimosaledge_core::{Millis, hash::hash64};
use mimosaledge_policy::{
    PolicySettings,
    even_choice::{self, Backlog},
    failure_excess,
    health::{Health, Outcome, Tally},
    load::{self, Counts, MAX_REPORT_AGE_MS, MeanDuration, Report},
    load_forecast::{Forecast, Known},
    placement::{self, Candidate},
    response_times::{self, ResponseSample, ResponseTimes},
    slowness::Slowness,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::scenario::{Chooser, NOISE, News, SPEEDS, Scenario, Spread};

/// Interval at which other work changes, in milliseconds.
const NOISE_MS: u64 = 600;
/// Requests arrive in groups of this size at different gateways.
const GROUP: usize = 3;
const SECONDS: u64 = 20;
/// Time until loads are steady, in milliseconds.
const WARM_UP_MS: u64 = 2_000;
/// Interval of the samples of the spread, in milliseconds.
const SPREAD_MS: u64 = 20;
/// Gateways of a large fleet that learn of a report.
const FANOUT: usize = 12;

#[derive(Clone, Copy)]
struct Job {
    gateway: usize,
    sent: u64,
}

struct Endpoint {
    running: Vec<(u64, Job)>,
    queue: VecDeque<Job>,
    noise: f64,
    arrivals: u32,
}

impl Endpoint {
    fn load(&self) -> usize {
        self.running.len() + self.queue.len()
    }
}

/// What a gateway knows of an endpoint.
#[derive(Clone, Default)]
struct Seen {
    at: u64,
    load: f64,
    slowness: Slowness,
    is_known: bool,
    own: u32,
    own_since: u32,
    times: ResponseTimes,
    /// Response times not told to the others yet.
    untold: ResponseSample,
    health: Health,
    /// Requests and outcomes in its last heartbeat.
    told: u32,
    told_tally: Tally,
}

impl Seen {
    fn report(&self, now: u64) -> Option<Report> {
        self.is_known.then(|| Report { load: self.load, age_ms: now - self.at })
    }

    fn learn(&mut self, news: EndpointReport) {
        if !self.is_known || self.at < news.at {
            (self.at, self.load, self.slowness) = (news.at, news.load, news.slowness);
            (self.is_known, self.own_since) = (true, 0);
        }
    }
}

struct Gateway {
    seen: Vec<Seen>,
    duration: MeanDuration,
    told_at: u64,
}

/// What an endpoint reports in a response.
#[derive(Clone, Copy)]
struct EndpointReport {
    at: u64,
    load: f64,
    slowness: Slowness,
}

struct Delivery {
    at: u64,
    endpoint: usize,
    report: EndpointReport,
}

pub(crate) struct Fleet {
    scenario: Scenario,
    chooser: Chooser,
    endpoints: Vec<Endpoint>,
    gateways: Vec<Gateway>,
    deliveries: Vec<Delivery>,
    random: Pcg64,
    waits: Vec<u64>,
    latencies: Vec<u64>,
}

impl Fleet {
    pub(crate) fn new(scenario: Scenario, chooser: Chooser) -> Fleet {
        let endpoint =
            || Endpoint { running: Vec::new(), queue: VecDeque::new(), noise: 1.0, arrivals: 0 };
        let gateway = || Gateway {
            seen: vec![Seen::default(); scenario.endpoints],
            duration: MeanDuration::default(),
            told_at: 0,
        };
        Fleet {
            chooser,
            endpoints: (0..scenario.endpoints).map(|_| endpoint()).collect(),
            gateways: (0..scenario.gateways).map(|_| gateway()).collect(),
            deliveries: Vec::new(),
            random: Pcg64::seed_from_u64(scenario.seed),
            waits: Vec::new(),
            latencies: Vec::new(),
            scenario,
        }
    }

    pub(crate) fn run(mut self) -> Spread {
        let group_ms = 1_000.0 * GROUP as f64 / self.scenario.requests_per_s();
        let (mut next_group, mut busiest, mut spreads) = (0.0, 0.0, 0);
        for now in 0..SECONDS * 1_000 {
            self.change_noise(now);
            self.run_endpoints(now);
            self.spread_news(now);
            while next_group <= now as f64 {
                (0..GROUP).for_each(|_| self.send(now));
                next_group += group_ms * self.random.random_range(0.0..2.0);
            }
            if now >= WARM_UP_MS && now.is_multiple_of(SPREAD_MS) {
                let loads = self.endpoints.iter().map(Endpoint::load);
                let total: usize = loads.clone().sum();
                if total > 0 {
                    let mean = total as f64 / self.endpoints.len() as f64;
                    busiest += loads.max().unwrap_or(0) as f64 / mean;
                    spreads += 1;
                }
            }
        }
        let p99 = |times: &mut Vec<u64>| {
            times.sort_unstable();
            times[times.len() * 99 / 100] as f64
        };
        let most = self.endpoints.iter().map(|it| it.arrivals).max().unwrap_or(0);
        let requests: u32 = self.endpoints.iter().map(|it| it.arrivals).sum();
        Spread {
            arrivals: f64::from(most) * self.endpoints.len() as f64 / f64::from(requests),
            busiest: busiest / f64::from(spreads),
            p99_wait_ms: p99(&mut self.waits),
            p99_ms: p99(&mut self.latencies),
        }
    }

    fn change_noise(&mut self, now: u64) {
        for (at, endpoint) in self.endpoints.iter_mut().enumerate() {
            if (now + at as u64 * 97).is_multiple_of(NOISE_MS) {
                let is_slow = self.random.random_bool(NOISE.0);
                endpoint.noise = if is_slow && self.scenario.is_uneven { NOISE.1 } else { 1.0 };
            }
        }
    }

    fn run_endpoints(&mut self, now: u64) {
        for index in 0..self.endpoints.len() {
            let endpoint = &mut self.endpoints[index];
            let (done, running): (Vec<_>, Vec<_>) =
                std::mem::take(&mut endpoint.running).into_iter().partition(|it| it.0 <= now);
            endpoint.running = running;
            while endpoint.running.len() < self.scenario.slots {
                let Some(job) = endpoint.queue.pop_front() else { break };
                let speed =
                    if self.scenario.is_uneven { SPEEDS[index % SPEEDS.len()] } else { 1.0 };
                let work_ms = self.scenario.work_ms
                    * speed
                    * endpoint.noise
                    * self.random.random_range(0.5..1.5);
                endpoint.running.push((now + work_ms as u64 + 1, job));
                self.waits.push(now - job.sent);
            }
            for (_, job) in done {
                self.respond(index, job, now);
            }
        }
    }

    fn respond(&mut self, index: usize, job: Job, now: u64) {
        let duration_ms = now - job.sent;
        self.latencies.push(duration_ms);
        let is_failed = self.random.random_bool(self.scenario.errors);
        let outcome = if is_failed { Outcome::Failed } else { Outcome::Answered };
        let endpoint = &self.endpoints[index];
        let gateway = &mut self.gateways[job.gateway];
        gateway.duration.record(duration_ms);
        let seen = &mut gateway.seen[index];
        seen.own -= 1;
        let sample = ResponseSample::of_one(duration_ms);
        if let News::Heartbeats(_) = self.scenario.news {
            seen.health.record(&PolicySettings::default(), outcome, Millis(now));
            seen.times.record(sample, 0, Millis(now));
            seen.untold.count += 1.0;
            seen.untold.total_ms += sample.total_ms;
            return;
        }
        let slowness = Slowness::new(endpoint.noise);
        let report = EndpointReport { at: now, load: endpoint.load() as f64, slowness };
        seen.learn(report);
        let at = now + self.random.random_range(100..400);
        self.deliveries.push(Delivery { at, endpoint: index, report });
    }

    fn spread_news(&mut self, now: u64) {
        let due: Vec<Delivery> = self.deliveries.extract_if(.., |it| it.at <= now).collect();
        for it in due {
            for to in self.recipients() {
                self.gateways[to].seen[it.endpoint].learn(it.report);
            }
        }
        let interval_ms = self.interval_ms();
        for from in 0..self.gateways.len() {
            if (now + from as u64 * 13).is_multiple_of(interval_ms) {
                self.send_heartbeat(from, now);
            }
        }
    }

    /// Returns the gateways that learn of a report.
    fn recipients(&mut self) -> Vec<usize> {
        let count = self.gateways.len();
        match self.scenario.news {
            News::Reports => (0..count).collect(),
            News::Samples => (0..FANOUT).map(|_| self.random.random_range(0..count)).collect(),
            News::Heartbeats(_) => Vec::new(),
        }
    }

    fn send_heartbeat(&mut self, from: usize, now: u64) {
        self.gateways[from].told_at = now;
        let age_ms = now.min(self.interval_ms() / 2);
        for index in 0..self.endpoints.len() {
            let seen = &mut self.gateways[from].seen[index];
            seen.told = seen.own;
            seen.told_tally = seen.health.tally(Millis(now));
            let untold = std::mem::take(&mut seen.untold);
            for (to, gateway) in self.gateways.iter_mut().enumerate() {
                if to != from && untold.count > 0.0 {
                    gateway.seen[index].times.record(untold, age_ms, Millis(now));
                }
            }
        }
    }

    fn interval_ms(&self) -> u64 {
        match self.scenario.news {
            News::Heartbeats(interval_ms) => interval_ms,
            _ => u64::MAX,
        }
    }

    fn send(&mut self, now: u64) {
        let gateway = self.random.random_range(0..self.gateways.len());
        let index = match self.chooser {
            Chooser::Before => self.choose_before(gateway, now),
            Chooser::Even => self.choose_even(gateway, now),
            Chooser::AllKnowing => self.choose_all_knowing(),
        };
        let seen = &mut self.gateways[gateway].seen[index];
        seen.own += 1;
        seen.own_since += 1;
        self.endpoints[index].arrivals += 1;
        self.endpoints[index].queue.push_back(Job { gateway, sent: now });
    }

    fn choose_all_knowing(&self) -> usize {
        let cost = |at: &usize| {
            let endpoint = &self.endpoints[*at];
            let waiting = (endpoint.load() + 1) as f64 / self.scenario.slots as f64;
            waiting.max(1.0) * SPEEDS[at % SPEEDS.len()] * endpoint.noise + waiting * 1e-3
        };
        (0..self.endpoints.len()).min_by(|a, b| cost(a).total_cmp(&cost(b))).unwrap()
    }

    /// Chooses as gateways did before they weighed the age of what they know.
    fn choose_before(&mut self, gateway: usize, now: u64) -> usize {
        let counts: Vec<Counts> =
            (0..self.endpoints.len()).map(|it| self.counts(gateway, it)).collect();
        let own = &self.gateways[gateway];
        let remaining_share = own.duration.remaining_share(self.counts_age_ms(gateway, now));
        let estimates = load::estimate(&counts, remaining_share);
        let tallies = self.tallies(gateway, now);
        let candidates: Vec<Candidate> = (0..self.endpoints.len())
            .map(|it| Candidate {
                node: hash64(&(it as u64).to_le_bytes()),
                load: load::with_report(estimates[it], own.seen[it].report(now), MAX_REPORT_AGE_MS),
                is_local: true,
                failure_rate: tallies[it].failure_rate(),
                refusal_rate: 0.0,
                slowness: Slowness::USUAL,
            })
            .collect();
        placement::choose(&PolicySettings::default(), None, &candidates, self.random.random())
            .unwrap()
    }

    fn choose_even(&mut self, gateway: usize, now: u64) -> usize {
        let counts_age_ms = match self.scenario.news {
            News::Heartbeats(_) => self.counts_age_ms(gateway, now),
            _ => u64::MAX,
        };
        let own = &self.gateways[gateway];
        let known: Vec<Known> = (0..self.endpoints.len())
            .map(|it| Known {
                counts: self.counts(gateway, it),
                counts_age_ms,
                report: own.seen[it].report(now),
                own_since: own.seen[it].own_since.into(),
            })
            .collect();
        let forecast = Forecast::new(&known, own.duration);
        let loads = forecast.loads().into_iter().zip(forecast.offsets()).map(|(a, b)| a + b);
        let slownesses = match self.scenario.news {
            News::Heartbeats(_) => {
                let times: Vec<ResponseTimes> = own.seen.iter().map(|it| it.times).collect();
                response_times::slownesses(&times, Millis(now))
            }
            _ => own.seen.iter().map(|it| it.slowness.aged(now - it.at)).collect(),
        };
        let passed_over = failure_excess::passed_over(&self.tallies(gateway, now));
        let backlogs: Vec<Backlog> = loads
            .zip(slownesses)
            .zip(passed_over)
            .map(|((load, slowness), passed_over)| Backlog {
                load,
                pace: slowness.multiple(),
                passed_over,
            })
            .collect();
        even_choice::choose(&backlogs, forecast.unsettled(), self.random.random()).unwrap()
    }

    /// Returns the outcomes that a gateway knows, its own and those that others told.
    fn tallies(&self, gateway: usize, now: u64) -> Vec<Tally> {
        let told = |endpoint: usize| {
            let peers = self.gateways.iter().enumerate().filter(|(at, _)| *at != gateway);
            peers.fold(Tally::default(), |sum, (_, it)| sum + it.seen[endpoint].told_tally)
        };
        let own = &self.gateways[gateway].seen;
        match self.scenario.news {
            News::Heartbeats(_) => own
                .iter()
                .enumerate()
                .map(|(at, it)| it.health.tally(Millis(now)) + told(at))
                .collect(),
            _ => vec![Tally::default(); own.len()],
        }
    }

    fn counts(&self, gateway: usize, endpoint: usize) -> Counts {
        let peers: u32 = match self.scenario.news {
            News::Heartbeats(_) => self
                .gateways
                .iter()
                .enumerate()
                .filter(|(at, _)| *at != gateway)
                .map(|(_, it)| it.seen[endpoint].told)
                .sum(),
            _ => 0,
        };
        Counts { own: self.gateways[gateway].seen[endpoint].own.into(), peers: peers.into() }
    }

    fn counts_age_ms(&self, gateway: usize, now: u64) -> u64 {
        let peers = self.gateways.iter().enumerate().filter(|(at, _)| *at != gateway);
        let total: u64 = peers.map(|(_, it)| now - it.told_at).sum();
        total / self.gateways.len().saturating_sub(1).max(1) as u64
    }
}
