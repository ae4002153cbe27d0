//! Load limits of a service whose endpoints report no load.
//!
//! The load: requests of many gateways to six endpoints with six slots, more than these complete;
//! without a limit their queues fill up, and every request is late.

use mimosaledge_core::Millis;
use mimosaledge_policy::capacity::{Capacity, Occupancy, Rates, Times};

const SLOTS: f64 = 36.0;
const TIMES: Times = Times { goal_ms: 300, timeout_ms: 3_000 };

fn occupied(load: f64) -> Occupancy {
    Occupancy { load, slots: SLOTS }
}

fn rates(arrivals_per_s: f64, completions_per_s: f64) -> Rates {
    Rates {
        arrivals_per_ms: arrivals_per_s / 1_000.0,
        completions_per_ms: completions_per_s / 1_000.0,
    }
}

/// Returns the capacity of endpoints that take 60 ms for a request.
fn known() -> Capacity {
    let mut capacity = Capacity::default();
    capacity.record_answer(60, 1.0, 6, Millis(0));
    capacity
}

#[test]
fn nothing_is_refused_before_an_endpoint_has_answered() {
    let mut capacity = Capacity::default();
    assert_eq!(capacity.limit(occupied(500.0), TIMES), None);
    let share = capacity.admitted_share(occupied(500.0), TIMES, rates(5_000.0, 1.0), Millis(0));
    assert_eq!(share, 1.0);
}

#[test]
fn limit_lets_requests_end_within_the_goal() {
    let limit = known().limit(occupied(0.0), TIMES).unwrap();
    let latency_ms = limit / (SLOTS / 60.0);
    assert!(latency_ms < 300.0 && latency_ms > 150.0, "{latency_ms}");
}

#[test]
fn limit_is_never_below_the_slots() {
    let hurried = Times { goal_ms: 60, timeout_ms: 80 };
    assert_eq!(known().limit(occupied(0.0), hurried), Some(SLOTS));
}

#[test]
fn goal_that_cannot_be_met_gives_way_to_the_timeout() {
    let hurried = Times { goal_ms: 50, timeout_ms: 3_000 };
    assert!(known().limit(occupied(0.0), hurried).unwrap() > 10.0 * SLOTS);
}

#[test]
fn calm_service_admits_all() {
    let mut capacity = known();
    for second in 1..20 {
        let now = Millis(second * 1_000);
        let share = capacity.admitted_share(occupied(15.0), TIMES, rates(252.0, 252.0), now);
        assert_eq!(share, 1.0);
    }
}

#[test]
fn short_burst_fits_the_queue_and_is_not_refused() {
    let share = known().admitted_share(occupied(20.0), TIMES, rates(620.0, 250.0), Millis(0));
    assert_eq!(share, 1.0);
}

#[test]
fn overload_admits_what_is_completed() {
    let mut capacity = known();
    let mut share = 1.0;
    for at in 0..60 {
        let now = Millis(at * 100);
        share = capacity.admitted_share(occupied(130.0), TIMES, rates(1_000.0, 600.0), now);
    }
    assert!((0.5..0.65).contains(&share), "{share}");
}

#[test]
fn slow_endpoints_are_known_by_what_they_complete_with_a_queue() {
    let mut capacity = known();
    let before = capacity.limit(occupied(130.0), TIMES).unwrap();
    for at in 0..100 {
        let now = Millis(at * 100);
        capacity.admitted_share(occupied(130.0), TIMES, rates(600.0, 300.0), now);
    }
    let after = capacity.limit(occupied(130.0), TIMES).unwrap();
    assert!(after < before * 0.6, "{before} {after}");
}

// What is completed while few are admitted says nothing of what could be.
#[test]
fn refusing_does_not_lower_the_capacity_of_a_service_that_is_not_busy() {
    let mut capacity = known();
    let before = capacity.limit(occupied(30.0), TIMES).unwrap();
    for at in 0..100 {
        let now = Millis(at * 100);
        capacity.admitted_share(occupied(30.0), TIMES, rates(1_000.0, 200.0), now);
    }
    assert!((capacity.limit(occupied(30.0), TIMES).unwrap() - before).abs() < 1e-6);
}

#[test]
fn lost_endpoints_lower_the_limit_at_once() {
    let capacity = known();
    let before = capacity.limit(occupied(100.0), TIMES).unwrap();
    let after = capacity.limit(Occupancy { load: 100.0, slots: SLOTS / 2.0 }, TIMES).unwrap();
    assert!((after - before / 2.0).abs() < 1e-9);
}

#[test]
fn answers_that_waited_do_not_count_as_work() {
    let mut capacity = known();
    (0..100).for_each(|_| capacity.record_answer(900, 20.0, 6, Millis(0)));
    assert_eq!(capacity.limit(occupied(0.0), TIMES), known().limit(occupied(0.0), TIMES));
}

#[test]
fn answer_without_a_wait_counts_more_than_old_news_of_a_queue() {
    let share_after = |duration_ms, now| {
        let mut capacity = known();
        capacity.record_answer(duration_ms, 25.0, 6, Millis(5_000));
        capacity.admitted_share(occupied(170.0), TIMES, rates(1_300.0, 600.0), now)
    };
    assert_eq!(share_after(70, Millis(5_200)), 1.0);
    assert!(share_after(70, Millis(5_400)) < 0.5);
    assert!(share_after(280, Millis(5_200)) < 0.5);
}

/// Requests in flight at a service that completes 600 a second, while gateways admit the share of
/// 1,000 a second that follows from news of `news_ms` ago at most; returns the least and the
/// greatest number after five seconds.
///
/// Requests that find more than `QUEUE_END` in flight are refused by the endpoints.
fn loads_with_late_news(news_ms: u64) -> (f64, f64) {
    const QUEUE_END: f64 = 180.0;
    let mut capacity = known();
    let (mut load, mut completed_per_ms) = (15.0_f64, 0.25);
    let (mut known_load, mut known_completed) = (load, completed_per_ms);
    let (mut least, mut greatest) = (f64::MAX, 0.0_f64);
    for at in 0..20_000 {
        if at % news_ms == 0 {
            (known_load, known_completed) = (load, completed_per_ms);
        }
        let rates = Rates { arrivals_per_ms: 1.0, completions_per_ms: known_completed };
        let share = capacity.admitted_share(occupied(known_load), TIMES, rates, Millis(at));
        let completes = (load / 60.0).min(0.6);
        load = (load + share - completes).clamp(0.0, QUEUE_END);
        completed_per_ms += (completes - completed_per_ms) / 700.0;
        if at > 5_000 {
            (least, greatest) = (least.min(load), greatest.max(load));
        }
    }
    (least, greatest)
}

/// Names a case: the age of the news. All slots must stay in use, and requests end within the goal.
macro_rules! news_cases {
    ($($name:ident: $news_ms:expr;)*) => {$(
        #[test]
        fn $name() {
            let (least, greatest) = loads_with_late_news($news_ms);
            let within_goal = 0.6 * TIMES.goal_ms as f64;
            assert!(least >= SLOTS && greatest < within_goal, "{least} {greatest}");
        }
    )*};
}

news_cases! {
    fresh_news_keep_the_load_at_the_limit: 10;
    news_of_a_small_fleet_keep_the_load_at_the_limit: 400;
    late_news_of_many_gateways_keep_the_load_at_the_limit: 1_300;
}
