//! Admission control under more requests of all classes than the engines can
//! serve.

mod support;

use mimosaledge_policy::{
    PolicySettings,
    admission::{Progress, load_limit, retry_after_ms},
};
use support::{
    engine::{CLASSES, SLOTS},
    fleet::{Scenario, simulate},
};

/// Time for which requests arrive, in seconds.
const OVERLOAD_S: usize = 12;
/// Time after that in which the last requests finish, in seconds.
const DRAIN_S: usize = 16;
/// Slots beyond any load, as a share of those of an engine.
const NO_LIMIT: f64 = 1_000.0;
/// Seconds over which requests placed on engines over the load cap are counted.
const WINDOW_S: usize = 5;
/// Maximum share of these requests.
const MAX_OVER_CAP_SHARE: f64 = 0.03;

/// Simulates an overload of a small fleet; returns the share of each class that starts within
/// its latency goal and finishes.
fn simulate_overload(fill_ratio: f64) -> [f64; CLASSES.len()] {
    let requests_per_s: f64 = CLASSES.iter().map(|it| it.requests_per_s).sum();
    let mut requests = vec![requests_per_s; OVERLOAD_S];
    requests.resize(OVERLOAD_S + DRAIN_S, 0.0);
    let outcome = simulate(Scenario {
        gateways: 8,
        engines: 9,
        heartbeat_ms: 470,
        start_ms: 100,
        requests_per_s: requests,
        lost_heartbeats: 0.0,
        restarts: Vec::new(),
        policy: PolicySettings { fill_ratio, ..PolicySettings::default() },
        seed: 11,
    });
    outcome.served_shares()
}

fn simulate_admission() -> [f64; CLASSES.len()] {
    simulate_overload(PolicySettings::default().fill_ratio)
}

#[test]
fn overload_serves_up_to_capacity() {
    let shares = simulate_admission();
    // The engines have capacity for two thirds of these requests.
    for share in shares {
        assert!(share > 0.45, "{shares:?}");
    }
    let without_admission = simulate_overload(NO_LIMIT);
    assert!(
        without_admission.iter().sum::<f64>() < shares.iter().sum::<f64>(),
        "{without_admission:?} {shares:?}"
    );
}

#[test]
fn urgent_class_is_served_at_least_as_often() {
    let [second, first, third] = simulate_admission();
    assert!(first > second - 0.05 && second > third - 0.05, "{first} {second} {third}");
    assert!(third > first / 4.0, "the least urgent class is starved: {third}");
}

#[test]
fn retry_delays_are_spread_and_within_the_deadline() {
    let delays: Vec<u64> = (0..1_000)
        .map(|it| retry_after_ms(&PolicySettings::default(), 12_000, &format!("a-{it}")))
        .collect();
    assert!(
        delays.iter().all(|it| (500..4_000).contains(it)),
        "a delay is not within a third of the remaining time"
    );
    let early = delays.iter().filter(|it| **it < 2_000).count();
    assert!((350..650).contains(&early), "{early} of 1000 are retried in the first half");
}

#[test]
fn started_requests_have_a_higher_limit() {
    assert!(
        load_limit(&PolicySettings::default(), SLOTS, 2, Progress::Started)
            > load_limit(&PolicySettings::default(), SLOTS, 0, Progress::New)
    );
    assert!(load_limit(&PolicySettings::default(), 1, 9, Progress::New) >= 1.0);
}

/// A surge to five times the usual requests, which is more than the engines can run, in front of
/// as many engines as a large deployment has.
fn surge() -> Scenario {
    Scenario {
        gateways: 79,
        engines: 60,
        heartbeat_ms: 1_100,
        start_ms: 100,
        requests_per_s: [vec![460.0; 4], vec![2_300.0; 10], vec![460.0; 6]].concat(),
        lost_heartbeats: 0.0,
        restarts: Vec::new(),
        policy: PolicySettings::default(),
        seed: 5,
    }
}

macro_rules! surges {
    ($($name:ident: $scenario:expr;)*) => {$(
        #[test]
        fn $name() {
            let over_cap = simulate($scenario).worst_over_cap(WINDOW_S);
            assert!(over_cap <= MAX_OVER_CAP_SHARE, "{over_cap} over the cap");
        }
    )*};
}

// Guards against engines that all gateways fill at once, each knowing only its own requests.
surges! {
    surge_is_spread_by_gateways_with_heartbeats_in_step: surge();
    surge_is_spread_by_gateways_with_heartbeats_at_any_time: Scenario { start_ms: 1_100, ..surge() };
    surge_is_spread_by_gateways_that_start_one_after_the_other:
        Scenario { start_ms: 300, seed: 17, ..surge() };
    surge_is_spread_while_heartbeats_are_lost: Scenario { lost_heartbeats: 0.3, ..surge() };
    surge_is_spread_while_most_gateways_restart:
        Scenario { restarts: vec![(6_000, 47), (9_000, 47)], ..surge() };
    surge_is_spread_while_all_gateways_restart: Scenario { restarts: vec![(8_000, 79)], ..surge() };
}
