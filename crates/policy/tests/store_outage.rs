//! The endpoint list after an outage of the store in which entries of live endpoints
//! have lapsed, at gateways that read it and at gateways that follow others.

use mimosaledge_core::{Millis, Name};
use mimosaledge_policy::{
    Endpoint, EndpointState, Position,
    endpoints::{Change, EXPIRY_OUTAGE_MS, Endpoints, RECOVERY_GRACE_MS},
};

const NOW: Millis = Millis(1_000_000);
/// Offset before the outage.
const BEFORE: u64 = 12;
/// Offset after the records of the lapses.
const LAPSED: u64 = 14;
/// Offset after the records that list the endpoints again.
const LISTED_AGAIN: u64 = 16;

fn position(offset: u64) -> Position {
    Position { era: 0, offset }
}

fn endpoint(id: &str) -> Endpoint {
    Endpoint {
        id: id.into(),
        started_ms: None,
        service: "app".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        build: "v1".into(),
        data_centre: "hall-1".into(),
        slots: 8,
        state: EndpointState::Ready,
    }
}

fn upsert(id: &str) -> Change {
    Change::Upsert(endpoint(id))
}

fn removal(id: &str) -> Change {
    Change::Remove(id.into())
}

/// A list of `a`, `b` and `c`, of which `a` and `b` have lapsed in an outage that ended
/// at `NOW`.
fn lapsed_list() -> Endpoints {
    let mut list = Endpoints::default();
    list.mark_list_available(0, NOW);
    list.apply_read(vec![upsert("a"), upsert("b"), upsert("c")], position(BEFORE), true, NOW);
    list.mark_list_unavailable();
    list.mark_list_available(EXPIRY_OUTAGE_MS, NOW);
    let applied = list.apply_read(vec![removal("a"), removal("b")], position(LAPSED), true, NOW);
    assert_eq!(applied, []);
    list
}

fn names(list: &Endpoints) -> Vec<&str> {
    let mut names: Vec<&str> = list.iter().map(|it| &*it.id).collect();
    names.sort_unstable();
    names
}

#[test]
fn records_that_list_endpoints_again_precede_the_end_of_the_grace_period() {
    let mut list = lapsed_list();
    let end = NOW + RECOVERY_GRACE_MS;
    let applied =
        list.apply_read(vec![upsert("a"), upsert("b")], position(LISTED_AGAIN), true, end);
    assert_eq!(applied, [], "a live endpoint was removed for a moment");
    assert_eq!(names(&list), ["a", "b", "c"]);
    assert_eq!(list.position(), position(LISTED_AGAIN));
}

#[test]
fn endpoint_that_is_not_listed_again_is_removed_by_the_read_after_the_grace_period() {
    let mut list = lapsed_list();
    let before_end = NOW + RECOVERY_GRACE_MS - 1;
    assert_eq!(list.apply_read(vec![upsert("a")], position(15), true, before_end), []);
    assert_eq!(list.position(), position(BEFORE));
    let applied = list.apply_read(Vec::new(), position(15), true, NOW + RECOVERY_GRACE_MS);
    assert_eq!(applied, [removal("b")]);
    assert_eq!(list.position(), position(15));
}

#[test]
fn removals_are_not_completed_by_a_read_that_stops_before_the_end() {
    let mut list = lapsed_list();
    let end = NOW + RECOVERY_GRACE_MS;
    assert_eq!(list.apply_read(vec![upsert("a")], position(15), false, end), []);
    assert_eq!(list.apply_read(vec![upsert("b")], position(LISTED_AGAIN), true, end), []);
    assert_eq!(names(&list), ["a", "b", "c"]);
}

#[test]
fn equal_list_of_a_gateway_that_has_read_further_cancels_deferred_removals() {
    let mut list = lapsed_list();
    list.confirm_at(position(LISTED_AGAIN));
    assert_eq!(list.position(), position(LISTED_AGAIN));
    assert_eq!(list.expire(NOW + RECOVERY_GRACE_MS), Vec::<Name>::new());
}

#[test]
fn equal_list_of_a_gateway_that_has_read_less_cancels_nothing() {
    let mut list = lapsed_list();
    list.confirm_at(position(LAPSED - 1));
    assert_eq!(list.position(), position(BEFORE));
    assert_eq!(list.expire(NOW + RECOVERY_GRACE_MS).len(), 2);
}

#[test]
fn digest_after_changes_is_that_of_the_changed_list() {
    let changes = [
        removal("a"),
        upsert("d"),
        removal("unknown"),
        Change::Upsert(Endpoint { state: EndpointState::Draining, ..endpoint("b") }),
        removal("d"),
        upsert("e"),
    ];
    let mut list = lapsed_list();
    let expected = list.digest_after(&changes);
    assert_ne!(expected, list.digest());
    list.apply_from_peer(changes.to_vec(), NOW);
    assert_eq!(list.digest(), expected);
}
