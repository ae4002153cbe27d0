//! Placement in a simulated fleet that is too large for every gateway to report
//! its requests to all others: gateways share samples of the loads that engines
//! report.

use std::collections::{HashMap, HashSet, VecDeque};

use mimosaledge_core::hash::hash64;
use mimosaledge_policy::{
    PolicySettings,
    placement::{Candidate, Prefix, choose},
    slowness::Slowness,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const GATEWAYS: usize = 120;
const ENGINES: usize = 210;
const REQUESTS_PER_S: u64 = 2_080;
/// Time that a request runs, in milliseconds.
const RUN_MS: u64 = 1_500;
const SESSIONS: u64 = 450;
const SECONDS: u64 = 12;
/// Time until loads are steady, in milliseconds.
const WARM_UP_MS: u64 = 4_000;
/// Interval at which a gateway sends samples, in milliseconds.
const ROUND_MS: u64 = 400;
/// Gateways that a gateway sends samples to in one round.
const FANOUT: usize = 12;
/// Samples sent to each of them.
const SAMPLES: usize = 8;
/// Time in which a gateway reports its hot prefixes to all others once, in
/// milliseconds.
const ROTATION_MS: u64 = 4_000;
/// Age up to which a sample is used, in milliseconds.
const SAMPLE_TTL_MS: u64 = 4_000;
/// Load cap of an engine: a multiple of the mean load, plus a number of
/// requests.
const LOAD_CAP: (f64, f64) = (2.0, 3.0);
/// Maximum share of requests placed on an engine over the cap.
const MAX_OVER_CAP_SHARE: f64 = 0.03;

#[derive(Clone, Copy)]
struct Sample {
    at: u64,
    load: u32,
}

struct Gateway {
    /// Latest known sample of each engine.
    known: Vec<Option<Sample>>,
    /// Own requests that run on each engine.
    own: Vec<u32>,
    /// Samples not sent to other gateways yet.
    unsent: VecDeque<(usize, Sample)>,
    /// Own requests that run for each session.
    sessions: HashMap<u64, u32>,
    /// Own requests of the hot session, as last reported to the others.
    reported_hot: u32,
}

struct Fleet {
    gateways: Vec<Gateway>,
    /// Requests that run on each engine.
    total: Vec<u32>,
    /// Running requests by end time: gateway, engine and session.
    completions: VecDeque<(u64, usize, usize, u64)>,
    random: Pcg64,
}

impl Fleet {
    fn new() -> Fleet {
        let gateway = || Gateway {
            known: vec![None; ENGINES],
            own: vec![0; ENGINES],
            unsent: VecDeque::new(),
            sessions: HashMap::new(),
            reported_hot: 0,
        };
        Fleet {
            gateways: (0..GATEWAYS).map(|_| gateway()).collect(),
            total: vec![0; ENGINES],
            completions: VecDeque::new(),
            random: Pcg64::seed_from_u64(11),
        }
    }

    /// Finishes requests that are due and sends the reports between gateways.
    fn advance(&mut self, now: u64) {
        while let Some(&(_, gateway, engine, session)) =
            self.completions.front().filter(|it| it.0 <= now)
        {
            self.completions.pop_front();
            self.total[engine] -= 1;
            self.gateways[gateway].own[engine] -= 1;
            *self.gateways[gateway].sessions.get_mut(&session).unwrap() -= 1;
        }
        for from in 0..GATEWAYS {
            if (now + from as u64 * 3).is_multiple_of(ROUND_MS) {
                self.send_samples(from);
            }
            if (now + from as u64 * 33).is_multiple_of(ROTATION_MS) {
                let hot = self.gateways[from].sessions.get(&0).copied().unwrap_or(0);
                self.gateways[from].reported_hot = if hot > 1 { hot } else { 0 };
            }
        }
    }

    fn send_samples(&mut self, from: usize) {
        let samples: Vec<(usize, Sample)> =
            self.gateways[from].unsent.drain(..).rev().take(SAMPLES).collect();
        for _ in 0..FANOUT {
            let to = self.random.random_range(0..GATEWAYS);
            for &(engine, sample) in &samples {
                let known = &mut self.gateways[to].known[engine];
                if known.is_none_or(|it| it.at < sample.at) {
                    *known = Some(sample);
                }
            }
        }
    }

    fn candidates(&self, gateway: usize, nodes: &[u64], now: u64) -> Vec<Candidate> {
        let gateway = &self.gateways[gateway];
        let load = |engine: usize| {
            let fresh = gateway.known[engine].filter(|it| now - it.at < SAMPLE_TTL_MS);
            fresh.map_or(gateway.own[engine], |it| it.load.max(gateway.own[engine]))
        };
        let candidate = |at| Candidate {
            node: nodes[at],
            load: f64::from(load(at)),
            is_local: true,
            failure_rate: 0.0,
            refusal_rate: 0.0,
            slowness: Slowness::USUAL,
        };
        (0..ENGINES).map(candidate).collect()
    }

    fn running(&self, gateway: usize, session: u64) -> f64 {
        let own = self.gateways[gateway].sessions.get(&session).copied().unwrap_or(0);
        let others =
            if session == 0 { self.gateways.iter().map(|it| it.reported_hot).sum() } else { 0 };
        f64::from(own + others + 1)
    }

    fn start(&mut self, gateway: usize, engine: usize, session: u64, now: u64) {
        self.total[engine] += 1;
        let sample = Sample { at: now, load: self.total[engine] };
        let gateway_state = &mut self.gateways[gateway];
        gateway_state.own[engine] += 1;
        gateway_state.known[engine] = Some(sample);
        gateway_state.unsent.push_back((engine, sample));
        *gateway_state.sessions.entry(session).or_insert(0) += 1;
        self.completions.push_back((now + RUN_MS, gateway, engine, session));
    }
}

/// Simulates a load in which `hot_share` of the requests belong to one session.
///
/// Returns the share of requests placed on an engine over the cap, and the
/// share of requests of known sessions placed on an engine that has their
/// prefix cached.
fn simulate(hot_share: f64) -> (f64, f64) {
    let nodes: Vec<u64> = (0..ENGINES as u64).map(|it| hash64(&it.to_le_bytes())).collect();
    let mut fleet = Fleet::new();
    let mut cached_at: HashMap<u64, HashSet<usize>> = HashMap::new();
    let (mut over, mut reused, mut repeated, mut count) = (0u64, 0u64, 0u64, 0u64);
    let mut sent = 0;
    for now in 0..SECONDS * 1_000 {
        fleet.advance(now);
        while sent < now * REQUESTS_PER_S / 1_000 {
            sent += 1;
            let gateway = fleet.random.random_range(0..GATEWAYS);
            let is_hot = fleet.random.random_bool(hot_share);
            let session = if is_hot { 0 } else { fleet.random.random_range(0..SESSIONS) };
            let running = fleet.running(gateway, session);
            let prefix = Prefix { key: hash64(&session.to_le_bytes()), running };
            let random_number = fleet.random.random();
            let candidates = fleet.candidates(gateway, &nodes, now);
            let engine =
                choose(&PolicySettings::default(), Some(prefix), &candidates, random_number)
                    .unwrap();
            if now >= WARM_UP_MS {
                let mean = fleet.total.iter().sum::<u32>() as f64 / ENGINES as f64;
                over += u64::from(f64::from(fleet.total[engine]) > LOAD_CAP.0 * mean + LOAD_CAP.1);
                count += 1;
                let is_known = cached_at.get(&session).is_some_and(|it| !it.is_empty());
                repeated += u64::from(is_known);
                reused += u64::from(cached_at.get(&session).is_some_and(|it| it.contains(&engine)));
            }
            cached_at.entry(session).or_default().insert(engine);
            fleet.start(gateway, engine, session, now);
        }
    }
    (over as f64 / count as f64, reused as f64 / repeated as f64)
}

macro_rules! scenarios {
    ($($name:ident => hot $hot_share:expr, reuse over $reuse:expr;)*) => {$(
        #[test]
        fn $name() {
            let (over, reuse) = simulate($hot_share);
            assert!(over <= MAX_OVER_CAP_SHARE, "{over} over the cap");
            assert!(reuse > $reuse, "reuse {reuse}");
        }
    )*};
}

scenarios! {
    sampled_loads_keep_engines_within_the_cap => hot 0.0, reuse over 0.8;
    hot_session_is_spread_in_a_large_fleet => hot 0.05, reuse over 0.7;
}
