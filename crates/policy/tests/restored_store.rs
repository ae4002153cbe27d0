//! The endpoint list after the store was restored from an older copy: offsets are
//! given out again, and drains and removals that the copy lacks stay in force.

use mimosaledge_core::{Millis, Name};
use mimosaledge_policy::{
    Endpoint, EndpointState, Position,
    endpoints::{Change, Endpoints, RECOVERY_GRACE_MS},
};

const NOW: Millis = Millis(1_000_000);

fn position(era: u64, offset: u64) -> Position {
    Position { era, offset }
}

fn endpoint(id: &str, state: EndpointState, started_ms: u64) -> Endpoint {
    Endpoint {
        id: id.into(),
        started_ms: Some(started_ms),
        service: "app".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        build: "v1".into(),
        data_centre: "hall-1".into(),
        slots: 8,
        state,
    }
}

fn ready(id: &str) -> Endpoint {
    endpoint(id, EndpointState::Ready, 1)
}

fn draining(id: &str) -> Endpoint {
    endpoint(id, EndpointState::Draining, 1)
}

/// A list in era 0 at offset 900 of: `a` ready, `b` draining, `c` removed.
fn list() -> Endpoints {
    let mut list = Endpoints::default();
    list.mark_list_available(0, NOW);
    for it in [ready("a"), draining("b"), ready("c")] {
        list.apply(Change::Upsert(it), NOW);
    }
    list.apply(Change::Remove("c".into()), NOW);
    list.advance_to(position(0, 900));
    list
}

/// The list of a copy that was taken before `b` drained and `c` left.
fn copy() -> Vec<Endpoint> {
    vec![ready("a"), ready("b"), ready("c")]
}

fn state_of(list: &Endpoints, id: &str) -> Option<EndpointState> {
    list.get(id).map(|it| it.state)
}

#[test]
fn positions_of_a_later_era_come_after_all_earlier_ones() {
    assert!(position(1, 3) > position(0, 900));
    assert!(position(1, 3) < position(1, 4));
}

#[test]
fn drain_and_removal_that_the_copy_lacks_stay_in_force() {
    let mut list = list();
    assert_eq!(list.restore(copy(), NOW), []);
    list.advance_to(position(1, 40));
    assert_eq!(state_of(&list, "b"), Some(EndpointState::Draining));
    assert_eq!(state_of(&list, "c"), None);
    assert_eq!(list.position(), position(1, 40));
}

#[test]
fn log_of_the_new_era_overrules_what_was_known_before() {
    let mut list = list();
    list.restore(copy(), NOW);
    assert!(list.apply(Change::Upsert(ready("b")), NOW + 800));
    assert!(list.apply(Change::Upsert(ready("c")), NOW + 800));
    assert_eq!(state_of(&list, "b"), Some(EndpointState::Ready));
    assert_eq!(state_of(&list, "c"), Some(EndpointState::Ready));
}

#[test]
fn new_incarnation_in_the_copy_is_not_held_back() {
    let mut list = list();
    let restarted = |id| endpoint(id, EndpointState::Ready, 2);
    list.restore(vec![ready("a"), restarted("b"), restarted("c")], NOW);
    assert_eq!(state_of(&list, "b"), Some(EndpointState::Ready));
    assert_eq!(state_of(&list, "c"), Some(EndpointState::Ready));
}

#[test]
fn endpoint_that_the_copy_lacks_is_kept_for_the_grace_period() {
    let mut list = list();
    list.apply(Change::Upsert(ready("late")), NOW);
    list.apply(Change::Upsert(ready("lost")), NOW);
    assert_eq!(list.restore(copy(), NOW), []);
    list.apply(Change::Upsert(ready("late")), NOW + 1_200);
    assert_eq!(list.expire(NOW + RECOVERY_GRACE_MS), [Name::from("lost")]);
    assert!(list.get("late").is_some());
}

#[test]
fn two_restores_in_a_row_keep_departures() {
    let mut list = list();
    list.restore(copy(), NOW);
    list.advance_to(position(1, 40));
    list.restore(copy(), NOW + 500);
    list.advance_to(position(2, 38));
    assert_eq!(state_of(&list, "b"), Some(EndpointState::Draining));
    assert_eq!(state_of(&list, "c"), None);
    assert_eq!(list.position(), position(2, 38));
}

#[test]
fn list_of_a_peer_that_missed_a_drain_does_not_undo_it() {
    let mut list = list();
    list.replace_from_peer(copy(), position(1, 40), NOW);
    assert_eq!(state_of(&list, "b"), Some(EndpointState::Draining));
    assert_eq!(state_of(&list, "c"), None);
    // The lists differ, so this one must be synced again.
    assert_eq!(list.position(), position(0, 900));
    // By now a live endpoint has registered again, so that the peer knows better.
    list.replace_from_peer(copy(), position(1, 60), NOW + RECOVERY_GRACE_MS);
    assert_eq!(state_of(&list, "b"), Some(EndpointState::Ready));
    assert_eq!(list.position(), position(1, 60));
}

#[test]
fn equal_list_of_a_peer_brings_the_new_era() {
    let mut list = list();
    list.replace_from_peer(vec![ready("a"), draining("b")], position(1, 40), NOW);
    assert_eq!(list.position(), position(1, 40));
}

#[test]
fn peer_of_the_old_era_does_not_bring_it_back() {
    let mut list = list();
    list.restore(copy(), NOW);
    list.advance_to(position(1, 40));
    list.advance_to(position(0, 5_000));
    assert_eq!(list.position(), position(1, 40));
}

#[test]
fn older_incarnation_of_a_copy_does_not_replace_the_known_one() {
    let mut list = list();
    list.apply(Change::Upsert(endpoint("a", EndpointState::Ready, 2)), NOW);
    list.restore(copy(), NOW);
    assert_eq!(list.get("a").and_then(|it| it.started_ms), Some(2));
    // The endpoint has started again and registers.
    list.apply(Change::Upsert(endpoint("a", EndpointState::Ready, 3)), NOW);
    assert_eq!(list.get("a").and_then(|it| it.started_ms), Some(3));
}
