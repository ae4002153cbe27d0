//! Placement under the loads that it answers: many gateways that know each
//! other's work only with a delay, and engines that come and go.

use std::collections::{HashMap, HashSet, VecDeque};

use mimosaledge_core::hash::hash64;
use mimosaledge_policy::placement::{Candidate, Prefix, choose};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// Multiple of the mean load, and requests besides, that no engine may exceed.
const CAP: (f64, f64) = (2.0, 3.0);
/// Share of requests that may meet an engine over the cap.
const OVER_CAP_SHARE: f64 = 0.03;
const RUN_MS: u64 = 1_500;

struct Load {
    gateways: usize,
    engines: usize,
    per_s: u64,
    sessions: u64,
    /// Share of requests that belong to the first session.
    hot: f64,
    /// Pause between two heartbeats of a gateway, in milliseconds.
    beat_ms: u64,
}

struct Outcome {
    over_cap: f64,
    reuse: f64,
}

/// Plays 20 s of a load.
fn play(load: &Load, lost: &[usize]) -> Outcome {
    let mut random = Pcg64::seed_from_u64(7);
    let nodes: Vec<u64> = (0..load.engines as u64).map(|it| hash64(&it.to_le_bytes())).collect();
    let mut own = vec![vec![0u32; load.engines]; load.gateways];
    let mut told = own.clone();
    let mut own_sessions: Vec<HashMap<u64, u32>> = vec![HashMap::new(); load.gateways];
    let mut told_sessions = own_sessions.clone();
    let mut ends: VecDeque<(u64, usize, usize, u64)> = VecDeque::new();
    let mut held: HashMap<u64, HashSet<usize>> = HashMap::new();
    let (mut over, mut reused, mut returned, mut count) = (0u64, 0u64, 0u64, 0u64);
    for step in 0..20 * load.per_s {
        let now = step * 1_000 / load.per_s;
        while ends.front().is_some_and(|it| it.0 <= now) {
            let (_, gateway, engine, session) = ends.pop_front().unwrap();
            own[gateway][engine] -= 1;
            *own_sessions[gateway].get_mut(&session).unwrap() -= 1;
        }
        for gateway in 0..load.gateways {
            // Heartbeats of different gateways fall on different moments.
            let phase = gateway as u64 * load.beat_ms / load.gateways as u64;
            if (now + phase) % load.beat_ms < 1_000 / load.per_s.min(1_000) {
                told[gateway] = own[gateway].clone();
                told_sessions[gateway] = own_sessions[gateway].clone();
            }
        }
        let gateway = random.random_range(0..load.gateways);
        let session =
            if random.random_bool(load.hot) { 0 } else { random.random_range(0..load.sessions) };
        let alive: Vec<usize> =
            (0..load.engines).filter(|it| now < 10_000 || !lost.contains(it)).collect();
        let candidates: Vec<Candidate> = alive
            .iter()
            .map(|&engine| {
                let others: u32 =
                    (0..load.gateways).filter(|it| *it != gateway).map(|it| told[it][engine]).sum();
                let known = own[gateway][engine] + others;
                Candidate {
                    node: nodes[engine],
                    load: f64::from(known),
                    is_local: true,
                    failure_rate: 0.0,
                }
            })
            .collect();
        let running: u32 = (0..load.gateways)
            .map(|it| if it == gateway { &own_sessions[it] } else { &told_sessions[it] })
            .filter_map(|it| it.get(&session))
            .sum();
        let prefix =
            Prefix { key: hash64(&session.to_le_bytes()), running: f64::from(running + 1) };
        let pick = random.random();
        let engine = alive[choose(Some(prefix), &candidates, pick).unwrap()];
        let total = |engine: usize| own.iter().map(|it| it[engine]).sum::<u32>();
        let mean = alive.iter().map(|it| f64::from(total(*it))).sum::<f64>() / alive.len() as f64;
        if f64::from(total(engine)) > CAP.0 * mean + CAP.1 {
            over += 1;
        }
        let holders = held.entry(session).or_default();
        returned += u64::from(!holders.is_empty());
        reused += u64::from(holders.contains(&engine));
        holders.insert(engine);
        own[gateway][engine] += 1;
        *own_sessions[gateway].entry(session).or_insert(0) += 1;
        ends.push_back((now + RUN_MS, gateway, engine, session));
        count += 1;
    }
    Outcome { over_cap: over as f64 / count as f64, reuse: reused as f64 / returned as f64 }
}

macro_rules! loads {
    ($($name:ident => $load:expr, lost $lost:expr, reuse over $reuse:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let outcome = play(&$load, &$lost);
                assert!(outcome.over_cap <= OVER_CAP_SHARE, "{} over the cap", outcome.over_cap);
                assert!(outcome.reuse > $reuse, "reuse {}", outcome.reuse);
            }
        )*
    };
}

loads! {
    steady_load_stays_within_the_cap =>
        Load { gateways: 8, engines: 9, per_s: 90, sessions: 190, hot: 0.0, beat_ms: 470 }, lost [], reuse over 0.8;
    surge_of_all_stays_within_the_cap =>
        Load { gateways: 8, engines: 9, per_s: 250, sessions: 190, hot: 0.0, beat_ms: 470 }, lost [], reuse over 0.8;
    one_hot_session_spreads =>
        Load { gateways: 8, engines: 9, per_s: 90, sessions: 190, hot: 0.4, beat_ms: 470 }, lost [], reuse over 0.8;
    engines_lost_in_a_surge_are_made_up_for =>
        Load { gateways: 6, engines: 9, per_s: 200, sessions: 190, hot: 0.1, beat_ms: 450 }, lost [1, 4, 7], reuse over 0.7;
    many_gateways_see_old_loads =>
        Load { gateways: 59, engines: 90, per_s: 860, sessions: 1_900, hot: 0.05, beat_ms: 920 }, lost [3], reuse over 0.8;
    hot_session_among_many_gateways_spreads =>
        Load { gateways: 79, engines: 60, per_s: 360, sessions: 700, hot: 0.2, beat_ms: 1_100 }, lost [], reuse over 0.7;
}

#[test]
fn session_stays_when_another_engine_leaves() {
    let cool = |key| Prefix { key, running: 1.0 };
    let idle = |node| Candidate { node, load: 0.0, is_local: true, failure_rate: 0.0 };
    let all: Vec<Candidate> = (0..9).map(|it| idle(hash64(&[it]))).collect();
    for session in 0..200u64 {
        let home = all[choose(Some(cool(session)), &all, 0).unwrap()].node;
        let fewer: Vec<Candidate> =
            all.iter().copied().filter(|it| it.node != all[0].node).collect();
        let next = fewer[choose(Some(cool(session)), &fewer, 0).unwrap()].node;
        assert!(home == next || home == all[0].node);
    }
}

#[test]
fn failing_endpoint_gets_less() {
    let candidate =
        |node, failure_rate| Candidate { node, load: 1.0, is_local: true, failure_rate };
    let two = [candidate(1, 0.6), candidate(2, 0.0)];
    assert_eq!(choose(None, &two, 0), Some(1));
    assert_eq!(choose(None, &two, 1), Some(1));
    let all_fail = [candidate(1, 0.6), candidate(2, 0.6)];
    let first = (0..2).filter(|pick| choose(None, &all_fail, *pick) == Some(0)).count();
    assert_eq!(first, 1, "a failure that all share says nothing of one");
}

#[test]
fn gateways_with_one_old_view_do_not_all_choose_the_same() {
    let candidate = |load| Candidate { node: 1, load, is_local: true, failure_rate: 0.0 };
    let four = [candidate(0.0), candidate(1.0), candidate(1.0), candidate(2.0)];
    let mut random = Pcg64::seed_from_u64(3);
    let best = (0..1_000).filter(|_| choose(None, &four, random.random()) == Some(0)).count();
    assert!((400..600).contains(&best), "{best} of 1000 chose the best of four");
}

#[test]
fn requests_without_a_prefix_go_to_the_least_loaded() {
    let candidate = |load, is_local| Candidate { node: 1, load, is_local, failure_rate: 0.0 };
    assert_eq!(choose(None, &[candidate(3.0, true), candidate(1.0, false)], 0), Some(1));
    assert_eq!(choose(None, &[candidate(1.0, false), candidate(1.0, true)], 0), Some(1));
    assert_eq!(choose(None, &[], 0), None);
    assert_eq!(choose(Some(Prefix { key: 1, running: 9.0 }), &[], 0), None);
}
