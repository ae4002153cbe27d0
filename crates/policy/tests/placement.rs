//! Placement in simulated fleets: many gateways that learn of each other's
//! requests only with a delay, and engines that leave.

use std::collections::{HashMap, HashSet, VecDeque};

use mimosaledge_core::hash::hash64;
use mimosaledge_policy::{
    PolicySettings,
    placement::{Candidate, Prefix, choose},
    slowness::Slowness,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// Load cap of an engine: a multiple of the mean load, plus a number of
/// requests.
const LOAD_CAP: (f64, f64) = (2.0, 3.0);
/// Maximum share of requests placed on an engine over the cap.
const MAX_OVER_CAP_SHARE: f64 = 0.03;
/// Time that a request runs, in milliseconds.
const RUN_MS: u64 = 1_500;

struct Scenario {
    gateways: usize,
    engines: usize,
    requests_per_s: u64,
    sessions: u64,
    /// Share of requests that belong to the first session.
    hot_share: f64,
    /// Interval between two heartbeats of a gateway, in milliseconds.
    heartbeat_ms: u64,
}

struct Measurement {
    /// Share of requests placed on an engine over the cap.
    over_cap: f64,
    /// Share of requests of known sessions placed on an engine that has their
    /// prefix cached.
    reuse: f64,
}

/// Simulates 20 s of a scenario; the engines in `lost` leave after 10 s.
fn simulate(scenario: &Scenario, lost: &[usize]) -> Measurement {
    let mut random = Pcg64::seed_from_u64(7);
    let nodes: Vec<u64> =
        (0..scenario.engines as u64).map(|it| hash64(&it.to_le_bytes())).collect();
    let mut own = vec![vec![0u32; scenario.engines]; scenario.gateways];
    let mut reported = own.clone();
    let mut own_sessions: Vec<HashMap<u64, u32>> = vec![HashMap::new(); scenario.gateways];
    let mut reported_sessions = own_sessions.clone();
    let mut completions: VecDeque<(u64, usize, usize, u64)> = VecDeque::new();
    let mut cached_at: HashMap<u64, HashSet<usize>> = HashMap::new();
    let (mut over, mut reused, mut repeated, mut count) = (0u64, 0u64, 0u64, 0u64);
    for step in 0..20 * scenario.requests_per_s {
        let now = step * 1_000 / scenario.requests_per_s;
        while completions.front().is_some_and(|it| it.0 <= now) {
            let (_, gateway, engine, session) = completions.pop_front().unwrap();
            own[gateway][engine] -= 1;
            *own_sessions[gateway].get_mut(&session).unwrap() -= 1;
        }
        for gateway in 0..scenario.gateways {
            // Heartbeats of different gateways are sent at different times.
            let phase = gateway as u64 * scenario.heartbeat_ms / scenario.gateways as u64;
            if (now + phase) % scenario.heartbeat_ms < 1_000 / scenario.requests_per_s.min(1_000) {
                reported[gateway] = own[gateway].clone();
                reported_sessions[gateway] = own_sessions[gateway].clone();
            }
        }
        let gateway = random.random_range(0..scenario.gateways);
        let session = if random.random_bool(scenario.hot_share) {
            0
        } else {
            random.random_range(0..scenario.sessions)
        };
        let alive: Vec<usize> =
            (0..scenario.engines).filter(|it| now < 10_000 || !lost.contains(it)).collect();
        let candidates: Vec<Candidate> = alive
            .iter()
            .map(|&engine| {
                let others: u32 = (0..scenario.gateways)
                    .filter(|it| *it != gateway)
                    .map(|it| reported[it][engine])
                    .sum();
                let known = own[gateway][engine] + others;
                Candidate {
                    node: nodes[engine],
                    load: f64::from(known),
                    is_local: true,
                    failure_rate: 0.0,
                    refusal_rate: 0.0,
                    slowness: Slowness::USUAL,
                }
            })
            .collect();
        let running: u32 = (0..scenario.gateways)
            .map(|it| if it == gateway { &own_sessions[it] } else { &reported_sessions[it] })
            .filter_map(|it| it.get(&session))
            .sum();
        let prefix =
            Prefix { key: hash64(&session.to_le_bytes()), running: f64::from(running + 1) };
        let random_number = random.random();
        let engine = alive
            [choose(&PolicySettings::default(), Some(prefix), &candidates, random_number).unwrap()];
        let total = |engine: usize| own.iter().map(|it| it[engine]).sum::<u32>();
        let mean = alive.iter().map(|it| f64::from(total(*it))).sum::<f64>() / alive.len() as f64;
        if f64::from(total(engine)) > LOAD_CAP.0 * mean + LOAD_CAP.1 {
            over += 1;
        }
        let holders = cached_at.entry(session).or_default();
        repeated += u64::from(!holders.is_empty());
        reused += u64::from(holders.contains(&engine));
        holders.insert(engine);
        own[gateway][engine] += 1;
        *own_sessions[gateway].entry(session).or_insert(0) += 1;
        completions.push_back((now + RUN_MS, gateway, engine, session));
        count += 1;
    }
    Measurement { over_cap: over as f64 / count as f64, reuse: reused as f64 / repeated as f64 }
}

macro_rules! scenarios {
    ($($name:ident => $scenario:expr, lost $lost:expr, reuse over $reuse:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let measurement = simulate(&$scenario, &$lost);
                assert!(measurement.over_cap <= MAX_OVER_CAP_SHARE, "{} over the cap", measurement.over_cap);
                assert!(measurement.reuse > $reuse, "reuse {}", measurement.reuse);
            }
        )*
    };
}

scenarios! {
    steady_load_stays_within_the_cap =>
        Scenario { gateways: 8, engines: 9, requests_per_s: 90, sessions: 190, hot_share: 0.0, heartbeat_ms: 470 }, lost [], reuse over 0.8;
    high_load_stays_within_the_cap =>
        Scenario { gateways: 8, engines: 9, requests_per_s: 250, sessions: 190, hot_share: 0.0, heartbeat_ms: 470 }, lost [], reuse over 0.8;
    hot_session_is_spread_over_engines =>
        Scenario { gateways: 8, engines: 9, requests_per_s: 90, sessions: 190, hot_share: 0.4, heartbeat_ms: 470 }, lost [], reuse over 0.8;
    loss_of_engines_under_high_load_stays_within_the_cap =>
        Scenario { gateways: 6, engines: 9, requests_per_s: 200, sessions: 190, hot_share: 0.1, heartbeat_ms: 450 }, lost [1, 4, 7], reuse over 0.7;
    many_gateways_with_stale_loads_stay_within_the_cap =>
        Scenario { gateways: 59, engines: 90, requests_per_s: 860, sessions: 1_900, hot_share: 0.05, heartbeat_ms: 920 }, lost [3], reuse over 0.8;
    hot_session_is_spread_by_many_gateways =>
        Scenario { gateways: 79, engines: 60, requests_per_s: 360, sessions: 700, hot_share: 0.2, heartbeat_ms: 1_100 }, lost [], reuse over 0.7;
}

#[test]
fn session_keeps_its_engine_when_another_leaves() {
    let with_prefix = |key| Prefix { key, running: 1.0 };
    let idle = |node| Candidate {
        node,
        load: 0.0,
        is_local: true,
        failure_rate: 0.0,
        refusal_rate: 0.0,
        slowness: Slowness::USUAL,
    };
    let all: Vec<Candidate> = (0..9).map(|it| idle(hash64(&[it]))).collect();
    for session in 0..200u64 {
        let before = all
            [choose(&PolicySettings::default(), Some(with_prefix(session)), &all, 0).unwrap()]
        .node;
        let remaining: Vec<Candidate> =
            all.iter().copied().filter(|it| it.node != all[0].node).collect();
        let after = remaining[choose(
            &PolicySettings::default(),
            Some(with_prefix(session)),
            &remaining,
            0,
        )
        .unwrap()]
        .node;
        assert!(before == after || before == all[0].node);
    }
}

#[test]
fn failing_endpoint_is_avoided() {
    let candidate = |node, failure_rate| Candidate {
        node,
        load: 1.0,
        is_local: true,
        failure_rate,
        refusal_rate: 0.0,
        slowness: Slowness::USUAL,
    };
    let two = [candidate(1, 0.6), candidate(2, 0.0)];
    assert_eq!(choose(&PolicySettings::default(), None, &two, 0), Some(1));
    assert_eq!(choose(&PolicySettings::default(), None, &two, 1), Some(1));
    let all_failing = [candidate(1, 0.6), candidate(2, 0.6)];
    let first = (0..2)
        .filter(|pick| choose(&PolicySettings::default(), None, &all_failing, *pick) == Some(0))
        .count();
    assert_eq!(first, 1, "a failure rate common to all endpoints must not affect the choice");
}

#[test]
fn gateways_with_the_same_stale_loads_choose_different_endpoints() {
    let candidate = |load| Candidate {
        node: 1,
        load,
        is_local: true,
        failure_rate: 0.0,
        refusal_rate: 0.0,
        slowness: Slowness::USUAL,
    };
    let four = [candidate(0.0), candidate(1.0), candidate(1.0), candidate(2.0)];
    let mut random = Pcg64::seed_from_u64(3);
    let best = (0..1_000)
        .filter(|_| choose(&PolicySettings::default(), None, &four, random.random()) == Some(0))
        .count();
    assert!((400..600).contains(&best), "{best} of 1000 chose the least loaded of four");
}

#[test]
fn requests_without_a_prefix_go_to_the_less_loaded_endpoint() {
    let candidate = |load, is_local| Candidate {
        node: 1,
        load,
        is_local,
        failure_rate: 0.0,
        refusal_rate: 0.0,
        slowness: Slowness::USUAL,
    };
    assert_eq!(
        choose(&PolicySettings::default(), None, &[candidate(3.0, true), candidate(1.0, false)], 0),
        Some(1)
    );
    assert_eq!(
        choose(&PolicySettings::default(), None, &[candidate(1.0, false), candidate(1.0, true)], 0),
        Some(1)
    );
    assert_eq!(choose(&PolicySettings::default(), None, &[], 0), None);
    assert_eq!(
        choose(&PolicySettings::default(), Some(Prefix { key: 1, running: 9.0 }), &[], 0),
        None
    );
}
