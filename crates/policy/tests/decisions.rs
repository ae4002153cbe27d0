//! Routing, endpoint list, retry budget, health, prefix cache and event stream,
//! each under the failures that it has to handle.

use assert_matches::assert_matches;
use mimosaledge_core::{Millis, Name};
use mimosaledge_policy::{
    Endpoint, EndpointState, FleetConfig, Limits, PolicySettings, Position, RetryPolicy, Route,
    Target,
    config::{Denial, RouteTable, Workspace},
    endpoints::{Change, EXPIRY_OUTAGE_MS, Endpoints, RECOVERY_GRACE_MS},
    health::{Health, Outcome},
    prefix_cache::{CachedPrefixes, fetch_source},
    retry_budget::{RetryBudget, RetryLimit},
    sends::Sends,
};

const NOW: Millis = Millis(1_000_000);

fn endpoint(id: &str, state: EndpointState) -> Endpoint {
    Endpoint {
        id: id.into(),
        started_ms: None,
        service: "app".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        build: "v1".into(),
        data_centre: "hall-1".into(),
        slots: 8,
        state,
    }
}

fn position(offset: u64) -> Position {
    Position { era: 0, offset }
}

fn upsert(id: &str) -> Change {
    Change::Upsert(endpoint(id, EndpointState::Ready))
}

fn removal(id: &str) -> Change {
    Change::Remove(id.into())
}

fn route(prefix: &str, anonymous: bool) -> Route {
    Route {
        name: prefix.into(),
        host: "Host.example".into(),
        path_prefix: prefix.into(),
        targets: vec![
            Target { service: "a".into(), weight: 3 },
            Target { service: "b".into(), weight: 1 },
        ],
        retry: RetryPolicy::Never,
        streaming: false,
        anonymous,
        sticky: false,
        timeout_ms: 1_000,
        latency_goal_ms: 100,
        gap_goal_ms: 0,
        priority: 2,
        max_attempts: 1,
    }
}

fn table() -> RouteTable {
    let workspace = Workspace {
        name: "firm".into(),
        priority: Some(0),
        keys: vec!["k-1".into(), "k-2".into()],
    };
    RouteTable::from_config(&FleetConfig {
        version: 4,
        routes: vec![route("/a/", false), route("/a/b/", true)],
        services: Vec::new(),
        limits: Limits::default(),
        workspaces: Some(vec![workspace]),
        ..FleetConfig::default()
    })
}

#[test]
fn longest_prefix_wins() {
    let table = table();
    let found = |path| table.find_route("host.EXAMPLE:80", path).map(|it| &*it.path_prefix);
    assert_eq!(found("/a/x"), Some("/a/"));
    assert_eq!(found("/a/b/x"), Some("/a/b/"));
    assert_eq!(found("/a/bx"), Some("/a/"));
    assert_eq!(found("/ab/"), None);
    assert_eq!(table.find_route("other", "/a/x").map(|it| &*it.path_prefix), None);
}

#[test]
fn api_key_selects_workspace_and_priority() {
    let table = table();
    let authorized = table.authorize("host.example", "/a/x", Some("k-2")).unwrap();
    assert_eq!((authorized.workspace.as_deref(), authorized.priority), (Some("firm"), 0));
    assert_matches!(table.authorize("host.example", "/a/x", Some("k-3")), Err(Denial::NoWorkspace));
    assert_matches!(table.authorize("host.example", "/a/x", None), Err(Denial::NoWorkspace));
    assert_matches!(table.authorize("host.example", "/z/x", Some("k-1")), Err(Denial::NoRoute));
    let anonymous = table.authorize("host.example", "/a/b/x", None).unwrap();
    assert_eq!((anonymous.workspace, anonymous.priority), (None, 2));
}

#[test]
fn requests_are_split_by_weight() {
    let route = route("/a/", true);
    let to_a = (0..4_000).filter(|key| route.select_service(*key).is_some_and(|it| &**it == "a"));
    assert_eq!(to_a.count(), 3_000);
}

#[test]
fn removal_without_an_outage_applies_immediately() {
    let mut endpoints = Endpoints::default();
    endpoints.mark_list_available(0, NOW);
    assert!(endpoints.apply(upsert("i-1"), NOW));
    assert!(!endpoints.apply(upsert("i-1"), NOW), "an unchanged entry is not a change");
    assert!(endpoints.apply(removal("i-1"), NOW + RECOVERY_GRACE_MS));
    assert_eq!(endpoints.iter().count(), 0);
}

#[test]
fn removal_after_an_outage_is_deferred_for_the_grace_period() {
    let mut endpoints = Endpoints::default();
    endpoints.mark_list_available(0, NOW);
    endpoints.apply(upsert("i-1"), NOW);
    endpoints.apply(upsert("i-2"), NOW);
    endpoints.mark_list_unavailable();
    endpoints.mark_list_available(EXPIRY_OUTAGE_MS, NOW);
    endpoints.apply(removal("i-1"), NOW);
    endpoints.apply(removal("i-2"), NOW);
    assert!(endpoints.expire(NOW + RECOVERY_GRACE_MS - 1).is_empty());
    assert_eq!(endpoints.iter().count(), 2);
    endpoints.apply(upsert("i-2"), NOW + 1_500);
    assert_eq!(endpoints.expire(NOW + RECOVERY_GRACE_MS), [Name::from("i-1")]);
    assert!(endpoints.get("i-2").is_some());
}

#[test]
fn offset_does_not_advance_while_a_removal_is_deferred() {
    let mut endpoints = Endpoints::default();
    endpoints.mark_list_available(0, NOW);
    endpoints.apply(upsert("i-1"), NOW);
    endpoints.advance_to(position(24));
    endpoints.mark_list_unavailable();
    endpoints.mark_list_available(EXPIRY_OUTAGE_MS, NOW);
    endpoints.apply(removal("i-1"), NOW);
    endpoints.advance_to(position(30));
    // Another gateway reports an offset past the record that lists the entry
    // again. Its list is the same, since the removal is only deferred here.
    endpoints.advance_to(position(36));
    assert_eq!(
        endpoints.position(),
        position(24),
        "the record that lists the entry again would be skipped"
    );
    endpoints.apply(upsert("i-1"), NOW + 1_500);
    endpoints.advance_to(position(36));
    assert_eq!(endpoints.position(), position(36));
    assert!(endpoints.expire(NOW + RECOVERY_GRACE_MS).is_empty());
}

#[test]
fn removal_after_a_short_outage_applies_immediately() {
    let mut endpoints = Endpoints::default();
    endpoints.mark_list_available(0, NOW);
    endpoints.apply(upsert("i-1"), NOW);
    // The outage is too short for any entry to expire, as when one call fails.
    endpoints.mark_list_unavailable();
    endpoints.mark_list_available(EXPIRY_OUTAGE_MS - 1, NOW);
    assert!(endpoints.apply(removal("i-1"), NOW));
    assert_eq!(endpoints.iter().count(), 0);
}

#[test]
fn removal_of_a_draining_endpoint_is_not_deferred() {
    let mut endpoints = Endpoints::default();
    endpoints.mark_list_available(0, NOW);
    endpoints.apply(Change::Upsert(endpoint("i-1", EndpointState::Draining)), NOW);
    endpoints.mark_list_unavailable();
    endpoints.mark_list_available(EXPIRY_OUTAGE_MS, NOW);
    assert!(!endpoints.any_ready());
    assert!(endpoints.apply(removal("i-1"), NOW));
}

#[test]
fn replaced_list_drops_missing_entries() {
    let mut endpoints = Endpoints::default();
    endpoints.apply(upsert("i-1"), NOW);
    let before = endpoints.digest();
    endpoints.replace(vec![endpoint("i-2", EndpointState::Ready)], NOW);
    assert!(endpoints.get("i-1").is_none() && endpoints.get("i-2").is_some());
    assert_ne!(endpoints.digest(), before);
    let mut copy = Endpoints::default();
    copy.replace_from_peer(endpoints.iter().cloned().collect(), position(7), NOW);
    assert_eq!(copy.digest(), endpoints.digest());
    copy.apply_from_peer(vec![upsert("i-1"), removal("i-2")], NOW);
    assert_eq!(copy.digest(), before);
}

/// Records a request that no gateway has recorded before.
fn record_request(budget: &mut RetryBudget, service: &Name, now: Millis) {
    budget.record_request(service, &mut Sends::default(), now);
}

/// Returns whether a request that has been sent once may be sent again.
fn allows_retry(budget: &mut RetryBudget, service: &Name, gateways: usize, now: Millis) -> bool {
    let mut sends = Sends { sent: 1, ..Sends::default() };
    budget.admit(service, &mut sends, gateways, now).is_some()
}

#[test]
fn retries_of_all_gateways_stay_within_the_budget() {
    let service = Name::from("app");
    let limit = RetryLimit { ratio: 0.2, slack: 56.0, window_ms: 10_000, usable_share: 0.8 };
    let (gateways, requests) = (8, 100);
    let mut retries = 0;
    for _ in 0..gateways {
        let mut budget = RetryBudget::new(limit);
        for number in 0..requests {
            record_request(&mut budget, &service, NOW + number);
        }
        retries += (0..requests)
            .filter(|it| allows_retry(&mut budget, &service, gateways, NOW + 100 + *it))
            .count();
    }
    let allowed = 0.2 * f64::from(gateways as u32 * requests as u32) + 56.0;
    assert!(retries as f64 <= allowed, "{retries} retries");
    assert!(retries as f64 >= allowed * 0.7, "{retries} retries of {allowed}");
}

// Guards against more retries than allowed because gateways restart one after the other.
#[test]
fn restarted_gateway_uses_only_the_ratio_for_a_window() {
    let service = Name::from("app");
    let limit = RetryLimit { ratio: 0.5, slack: 10.0, window_ms: 1_000, usable_share: 1.0 };
    let mut budget = RetryBudget::after_restart(limit, NOW);
    assert!(!allows_retry(&mut budget, &service, 1, NOW));
    record_request(&mut budget, &service, NOW + 1);
    record_request(&mut budget, &service, NOW + 1);
    assert!(allows_retry(&mut budget, &service, 1, NOW + 2));
    assert!(!allows_retry(&mut budget, &service, 1, NOW + 999));
    assert!(allows_retry(&mut budget, &service, 1, NOW + 1_000));
}

// Guards against a request whose sends start anew at the gateway that it is handed over to.
#[test]
fn sends_of_a_request_count_at_each_gateway_that_serves_it() {
    let service = Name::from("app");
    let limit = RetryLimit { ratio: 0.0, slack: 1.0, window_ms: 1_000, usable_share: 1.0 };
    let (mut first, mut second) = (RetryBudget::new(limit), RetryBudget::new(limit));
    let mut sends = Sends::default();
    first.record_request(&service, &mut sends, NOW);
    assert!(first.admit(&service, &mut sends, 1, NOW).is_some(), "the first send is no retry");
    first.prepay(&service, &mut sends, 1, NOW);
    second.record_request(&service, &mut sends, NOW);
    assert!(second.admit(&service, &mut sends, 1, NOW).is_some(), "taken from the first budget");
    assert_eq!(second.state(&service, 1, NOW).retries, 0);
    assert_eq!(second.state(&service, 1, NOW).requests, 0);
    let grant = second.admit(&service, &mut sends, 1, NOW).unwrap();
    assert!(second.admit(&service, &mut sends, 1, NOW).is_none(), "the budget is used up");
    second.refund(&service, grant);
    assert!(second.admit(&service, &mut sends, 1, NOW).is_some(), "the send did not happen");
}

#[test]
fn budget_recovers_after_the_window() {
    let service = Name::from("app");
    let limit = RetryLimit { ratio: 0.0, slack: 2.0, window_ms: 1_000, usable_share: 0.8 };
    let mut budget = RetryBudget::new(limit);
    assert!(allows_retry(&mut budget, &service, 1, NOW));
    assert!(!allows_retry(&mut budget, &service, 1, NOW + 999));
    assert!(allows_retry(&mut budget, &service, 1, NOW + 1_000));
}

#[test]
fn unreachable_endpoint_is_probed_with_backoff() {
    let mut health = Health::default();
    health.record(&PolicySettings::default(), Outcome::Unreachable, NOW);
    assert!(!health.is_up());
    let probes: Vec<u64> = (0..5_000).filter(|ms| health.take_probe(NOW + *ms)).collect();
    assert!(probes.len() >= 4 && probes.len() <= 8, "{probes:?}");
    health.mark_reachable();
    assert!(health.is_up());
}

#[test]
fn only_consecutive_timeouts_mark_an_endpoint_as_down() {
    let mut health = Health::default();
    health.record(&PolicySettings::default(), Outcome::Silent, NOW);
    health.record(&PolicySettings::default(), Outcome::Answered, NOW);
    health.record(&PolicySettings::default(), Outcome::Silent, NOW);
    assert!(health.is_up());
    health.record(&PolicySettings::default(), Outcome::Silent, NOW);
    assert!(!health.is_up());
}

#[test]
fn endpoint_that_goes_on_after_a_silence_does_not_count_as_down() {
    let mut health = Health::default();
    for _ in 0..4 {
        health.record(&PolicySettings::default(), Outcome::Silent, NOW);
        health.mark_reachable();
    }
    assert!(health.is_up());
}

#[test]
fn failures_decay_with_age() {
    let mut health = Health::default();
    for _ in 0..20 {
        health.record(&PolicySettings::default(), Outcome::Failed, NOW);
    }
    assert!(health.is_up() && health.tally(NOW).failure_rate() > 0.7);
    assert!(health.tally(NOW + 30_000).failure_rate() < 0.01);
}

#[test]
fn missing_prefix_is_fetched_from_an_engine_that_has_it() {
    let mut cached = CachedPrefixes::default();
    let nodes = [11, 22, 33];
    let source = fetch_source(5, 0, &nodes, &cached, NOW).map(|at| nodes[at]);
    assert_matches!(source, Some(_));
    cached.record(5, 22, NOW);
    assert_eq!(fetch_source(5, 11, &nodes, &cached, NOW), Some(1));
    assert_eq!(fetch_source(5, 22, &nodes, &cached, NOW), None, "the engine has the prefix cached");
    assert_eq!(fetch_source(5, 11, &[11], &cached, NOW), None, "there is no other engine");
}
