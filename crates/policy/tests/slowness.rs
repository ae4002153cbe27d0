//! Endpoints that are slow just now, or fail more often than others.

use mimosaledge_core::{Millis, hash::hash64};
use mimosaledge_policy::{
    PolicySettings,
    broken_responses::{self, BrokenResponses},
    even_choice::{Backlog, choose, shares},
    failure_excess::passed_over,
    health::Tally,
    placement::{self, Candidate, Prefix},
    response_times::{ResponseSample, ResponseTimes, slownesses},
    slowness::Slowness,
};

fn tally(successes: f64, failures: f64) -> Tally {
    Tally { successes, failures, refusals: 0.0 }
}

#[test]
fn slowness_is_forgotten_with_age() {
    let slow = Slowness::new(2.5);
    assert_eq!(slow.aged(0), slow);
    assert!((slow.aged(400).multiple() - 1.75).abs() < 0.01);
    assert!(slow.aged(4_000).multiple() < 1.01);
    assert_eq!(Slowness::new(f64::NAN), Slowness::USUAL);
}

#[test]
fn endpoint_with_long_response_times_is_slow_for_a_while() {
    let now = Millis(10_000);
    let mut times = [ResponseTimes::default(); 3];
    for (endpoint, duration_ms) in times.iter_mut().zip([20, 20, 80]) {
        (0..8).for_each(|_| endpoint.record(ResponseSample::of_one(duration_ms), 100, now));
    }
    let slow = slownesses(&times, now);
    assert!(slow[2].multiple() > 1.5 && slow[0].multiple() < 1.0, "{slow:?}");
    let later = slownesses(&times, now + 4_000);
    assert!(later[2].multiple() < 1.05, "{later:?}");
    assert_eq!(slownesses(&[ResponseTimes::default()], now), [Slowness::USUAL]);
}

/// Names a case: successes and failures at three endpoints, and which of them is avoided.
macro_rules! failure_cases {
    ($($name:ident: $tallies:expr => $avoided:expr;)*) => {$(
        #[test]
        fn $name() {
            let shares = passed_over(&$tallies.map(|(successes, failures)| tally(successes, failures)));
            let avoided: Vec<usize> = (0..3).filter(|it| shares[*it] > 0.5).collect();
            assert_eq!(avoided, $avoided, "{shares:?}");
        }
    )*};
}

failure_cases! {
    failures_that_all_have_say_nothing: [(80.0, 16.0), (80.0, 13.0), (80.0, 20.0)] => [0usize; 0];
    few_failures_may_be_chance: [(9.0, 1.0), (10.0, 0.0), (10.0, 0.0)] => [0usize; 0];
    one_that_fails_half_is_avoided: [(80.0, 4.0), (80.0, 4.0), (40.0, 44.0)] => [2];
    two_of_three_that_fail_half_are_avoided: [(80.0, 4.0), (40.0, 44.0), (44.0, 40.0)] => [1, 2];
    one_of_which_nothing_else_is_known_is_avoided: [(0.0, 9.0), (30.0, 0.0), (30.0, 0.0)] => [0];
}

#[test]
fn endpoint_whose_response_broke_off_is_avoided_for_a_while() {
    let now = Millis(10_000);
    let mut endpoints = [BrokenResponses::default(); 2];
    endpoints[0].record(now);
    let avoided = broken_responses::passed_over(&endpoints, now);
    assert!(avoided[0] > 0.75 && avoided[1] == 0.0, "{avoided:?}");
    assert!(broken_responses::passed_over(&endpoints, now + 12_000)[0] < 0.05);
    endpoints[1].record(now);
    assert_eq!(broken_responses::passed_over(&endpoints, now), [0.0, 0.0]);
}

#[test]
fn older_news_spreads_requests_more_evenly() {
    let loads = [1.0, 4.0, 4.0];
    let backlogs = loads.map(|load| Backlog { load, pace: 1.0, passed_over: 0.0 });
    assert_eq!(shares(&backlogs, 0.0), [1.0, 0.0, 0.0]);
    let old = shares(&backlogs, 29.0);
    assert!(old[0] < 2.0 * old[1] && old[1] > 8.0, "{old:?}");
}

#[test]
fn slow_endpoint_gets_fewer_requests_and_an_avoided_one_none() {
    let backlog = |pace, passed_over| Backlog { load: 0.0, pace, passed_over };
    let shares = shares(&[backlog(1.0, 0.0), backlog(2.0, 0.0), backlog(1.0, 1.0)], 9.0);
    assert_eq!((shares[0], shares[2]), (2.0 * shares[1], 0.0));
    assert_eq!(choose(&[backlog(1.0, 1.0)], 0.0, 7), Some(0));
    assert_eq!(choose(&[], 0.0, 7), None);
}

#[test]
fn slow_engine_is_kept_for_its_cached_prefix_but_not_chosen_without_one() {
    let candidate = |at: u64| Candidate {
        node: hash64(&at.to_le_bytes()),
        load: 4.0,
        is_local: true,
        failure_rate: 0.0,
        refusal_rate: 0.0,
        slowness: Slowness::USUAL,
    };
    let policy = PolicySettings::default();
    let mut engines: Vec<Candidate> = (0..4).map(candidate).collect();
    let prefix = Some(Prefix { key: 5, running: 1.0 });
    let holder = placement::choose(&policy, prefix, &engines, 0).unwrap();
    engines[holder].slowness = Slowness::new(4.0);
    let randoms = (0..1_000u64).map(|it| hash64(&it.to_le_bytes()));
    for random in randoms {
        assert_eq!(placement::choose(&policy, prefix, &engines, random), Some(holder));
        assert_ne!(placement::choose(&policy, None, &engines, random), Some(holder));
    }
}
