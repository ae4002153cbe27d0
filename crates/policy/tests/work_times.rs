//! How long a request is expected to take.

use mimosaledge_core::Name;
use mimosaledge_policy::{RetryPolicy, Route, work_times::WorkTimes};

fn route(name: &str) -> Route {
    Route {
        name: name.into(),
        host: "host".into(),
        path_prefix: "/".into(),
        targets: Vec::new(),
        retry: RetryPolicy::Never,
        streaming: false,
        anonymous: false,
        sticky: false,
        timeout_ms: 15_000,
        latency_goal_ms: 100,
        gap_goal_ms: 100,
        priority: 0,
        max_attempts: 1,
    }
}

fn record(times: &mut WorkTimes, name: &str, works_ms: impl IntoIterator<Item = u64>) {
    let name = Name::from(name);
    works_ms.into_iter().for_each(|it| times.record(&name, it));
}

#[test]
fn unknown_route_is_expected_to_keep_its_goal() {
    assert_eq!(WorkTimes::default().expected_ms(&route("a")), 100);
}

#[test]
fn expected_time_is_that_of_nine_in_ten_latest_requests() {
    let mut times = WorkTimes::default();
    record(&mut times, "a", [9_000; 40]);
    record(&mut times, "a", 1..=30);
    record(&mut times, "a", [5_000; 2]);
    record(&mut times, "b", [7]);
    assert_eq!(times.expected_ms(&route("a")), 29);
    assert_eq!(times.expected_ms(&route("b")), 7);
}

#[test]
fn removed_route_is_forgotten() {
    let mut times = WorkTimes::default();
    record(&mut times, "a", [9]);
    record(&mut times, "b", [9]);
    times.retain(&[route("b")]);
    assert_eq!((times.expected_ms(&route("a")), times.expected_ms(&route("b"))), (100, 9));
}
