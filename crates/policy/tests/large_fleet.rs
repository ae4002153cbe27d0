//! Placement in a fleet too large for all to tell each other their requests:
//! gateways know engines' loads from what these told one of them.

use std::collections::{HashMap, HashSet, VecDeque};

use mimosaledge_core::hash::hash64;
use mimosaledge_policy::placement::{Candidate, Prefix, choose};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const GATEWAYS: usize = 120;
const ENGINES: usize = 210;
const PER_S: u64 = 2_080;
const RUN_MS: u64 = 1_500;
const SESSIONS: u64 = 450;
const SECONDS: u64 = 12;
/// Time until loads are steady.
const WARM_UP_MS: u64 = 4_000;
const ROUND_MS: u64 = 400;
/// Others told in one round, and loads that each is told.
const TOLD: usize = 12;
const SAMPLES: usize = 8;
/// Time in which each gateway has told all others of the prefixes it has.
const TURN_MS: u64 = 4_000;
/// Age up to which a sample is used.
const SAMPLE_MS: u64 = 4_000;
/// Multiple of the mean load, and requests besides, that no engine may exceed.
const CAP: (f64, f64) = (2.0, 3.0);
/// Share of requests that may meet an engine over the cap.
const OVER_CAP_SHARE: f64 = 0.03;

#[derive(Clone, Copy)]
struct Sample {
    at: u64,
    load: u32,
}

struct Gateway {
    known: Vec<Option<Sample>>,
    own: Vec<u32>,
    fresh: VecDeque<(usize, Sample)>,
    sessions: HashMap<u64, u32>,
    told_hot: u32,
}

struct Fleet {
    gateways: Vec<Gateway>,
    total: Vec<u32>,
    ends: VecDeque<(u64, usize, usize, u64)>,
    random: Pcg64,
}

impl Fleet {
    fn new() -> Fleet {
        let gateway = || Gateway {
            known: vec![None; ENGINES],
            own: vec![0; ENGINES],
            fresh: VecDeque::new(),
            sessions: HashMap::new(),
            told_hot: 0,
        };
        Fleet {
            gateways: (0..GATEWAYS).map(|_| gateway()).collect(),
            total: vec![0; ENGINES],
            ends: VecDeque::new(),
            random: Pcg64::seed_from_u64(11),
        }
    }

    /// Ends what has run and lets gateways tell each other.
    fn advance(&mut self, now: u64) {
        while let Some(&(_, gateway, engine, session)) = self.ends.front().filter(|it| it.0 <= now)
        {
            self.ends.pop_front();
            self.total[engine] -= 1;
            self.gateways[gateway].own[engine] -= 1;
            *self.gateways[gateway].sessions.get_mut(&session).unwrap() -= 1;
        }
        for from in 0..GATEWAYS {
            if (now + from as u64 * 3).is_multiple_of(ROUND_MS) {
                self.tell(from);
            }
            if (now + from as u64 * 33).is_multiple_of(TURN_MS) {
                let hot = self.gateways[from].sessions.get(&0).copied().unwrap_or(0);
                self.gateways[from].told_hot = if hot > 1 { hot } else { 0 };
            }
        }
    }

    fn tell(&mut self, from: usize) {
        let samples: Vec<(usize, Sample)> =
            self.gateways[from].fresh.drain(..).rev().take(SAMPLES).collect();
        for _ in 0..TOLD {
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
            let fresh = gateway.known[engine].filter(|it| now - it.at < SAMPLE_MS);
            fresh.map_or(gateway.own[engine], |it| it.load.max(gateway.own[engine]))
        };
        let candidate = |at| Candidate {
            node: nodes[at],
            load: f64::from(load(at)),
            is_local: true,
            failure_rate: 0.0,
        };
        (0..ENGINES).map(candidate).collect()
    }

    fn running(&self, gateway: usize, session: u64) -> f64 {
        let own = self.gateways[gateway].sessions.get(&session).copied().unwrap_or(0);
        let others =
            if session == 0 { self.gateways.iter().map(|it| it.told_hot).sum() } else { 0 };
        f64::from(own + others + 1)
    }

    fn start(&mut self, gateway: usize, engine: usize, session: u64, now: u64) {
        self.total[engine] += 1;
        let sample = Sample { at: now, load: self.total[engine] };
        let gateway_state = &mut self.gateways[gateway];
        gateway_state.own[engine] += 1;
        gateway_state.known[engine] = Some(sample);
        gateway_state.fresh.push_back((engine, sample));
        *gateway_state.sessions.entry(session).or_insert(0) += 1;
        self.ends.push_back((now + RUN_MS, gateway, engine, session));
    }
}

/// Plays a load in which a share of requests belongs to one session; returns
/// the shares of requests that met an engine over the cap, and of returning
/// requests that met one which has their prefix.
fn play(hot: f64) -> (f64, f64) {
    let nodes: Vec<u64> = (0..ENGINES as u64).map(|it| hash64(&it.to_le_bytes())).collect();
    let mut fleet = Fleet::new();
    let mut held: HashMap<u64, HashSet<usize>> = HashMap::new();
    let (mut over, mut reused, mut returned, mut count) = (0u64, 0u64, 0u64, 0u64);
    let mut played = 0;
    for now in 0..SECONDS * 1_000 {
        fleet.advance(now);
        while played < now * PER_S / 1_000 {
            played += 1;
            let gateway = fleet.random.random_range(0..GATEWAYS);
            let is_hot = fleet.random.random_bool(hot);
            let session = if is_hot { 0 } else { fleet.random.random_range(0..SESSIONS) };
            let running = fleet.running(gateway, session);
            let prefix = Prefix { key: hash64(&session.to_le_bytes()), running };
            let pick = fleet.random.random();
            let candidates = fleet.candidates(gateway, &nodes, now);
            let engine = choose(Some(prefix), &candidates, pick).unwrap();
            if now >= WARM_UP_MS {
                let mean = fleet.total.iter().sum::<u32>() as f64 / ENGINES as f64;
                over += u64::from(f64::from(fleet.total[engine]) > CAP.0 * mean + CAP.1);
                count += 1;
                let known = held.get(&session).is_some_and(|it| !it.is_empty());
                returned += u64::from(known);
                reused += u64::from(held.get(&session).is_some_and(|it| it.contains(&engine)));
            }
            held.entry(session).or_default().insert(engine);
            fleet.start(gateway, engine, session, now);
        }
    }
    (over as f64 / count as f64, reused as f64 / returned as f64)
}

macro_rules! loads {
    ($($name:ident => hot $hot:expr, reuse over $reuse:expr;)*) => {$(
        #[test]
        fn $name() {
            let (over, reuse) = play($hot);
            assert!(over <= OVER_CAP_SHARE, "{over} over the cap");
            assert!(reuse > $reuse, "reuse {reuse}");
        }
    )*};
}

loads! {
    loads_that_engines_told_keep_them_within_the_cap => hot 0.0, reuse over 0.8;
    hot_session_of_a_large_fleet_spreads => hot 0.05, reuse over 0.7;
}
