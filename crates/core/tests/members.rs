//! Routers that are taken for alive while gossip of them is still coming round.

use mimosaledge_core::{
    Code, Millis, Outcome,
    members::{DEAD_AFTER_MS, Heartbeat, Members, Phase, RouterRef},
};

/// Longest time that gossip takes to come round when a whole fleet starts.
const START_MS: u64 = 5_000;

fn heartbeat(id: u32, incarnation: u64, beat: u32) -> Heartbeat {
    let address = "127.0.0.1:1".parse().unwrap();
    Heartbeat {
        router: RouterRef { id, incarnation },
        beat,
        http: address,
        peer: address,
        data_centre: 0,
        phase: Phase::Serving,
        head: 0,
    }
}

fn started_fleet(now: Millis) -> Members {
    let mut members = Members::new(heartbeat(1, 1, 0), now);
    members.introduce(heartbeat(2, 0, 0), now);
    members
}

#[test]
fn first_heartbeat_does_not_shorten_a_starting_routers_time() {
    let start = Millis(1_000);
    let mut members = started_fleet(start);
    assert!(members.hear(heartbeat(2, 7, 1), start + 200));
    for ms in (0..START_MS).step_by(100) {
        assert_eq!(members.peers(start + 200 + ms).count(), 1, "taken for dead after {ms} ms");
    }
}

#[test]
fn short_heartbeat_does_not_shorten_it_either() {
    let start = Millis(1_000);
    let mut members = started_fleet(start);
    members.hear(heartbeat(2, 7, 1), start + 100);
    let tag = RouterRef { id: 2, incarnation: 7 }.tag();
    assert_eq!(members.hear_beat(tag, 2, start + 300), Some(2));
    assert_eq!(members.peers(start + START_MS).count(), 1);
}

#[test]
fn silent_router_is_dead_once_the_start_is_over() {
    let start = Millis(1_000);
    let mut members = started_fleet(start);
    members.hear(heartbeat(2, 7, 1), start + START_MS + 100);
    assert_eq!(members.peers(start + START_MS + 100 + DEAD_AFTER_MS - 1).count(), 1);
    assert_eq!(members.peers(start + START_MS + 100 + DEAD_AFTER_MS).count(), 0);
}

#[test]
fn router_that_stops_while_the_fleet_starts_is_dead_in_time() {
    let start = Millis(1_000);
    let mut members = started_fleet(start);
    members.hear(heartbeat(2, 7, 1), start + 100);
    members.hear(Heartbeat { phase: Phase::Draining, ..heartbeat(2, 7, 2) }, start + 500);
    assert_eq!(members.peers(start + 500 + DEAD_AFTER_MS - 1).count(), 1);
    assert_eq!(members.peers(start + 500 + DEAD_AFTER_MS).count(), 0);
}

#[test]
fn starting_router_is_neither_located_nor_made_a_witness() {
    let now = Millis(1_000);
    let mut members = Members::new(heartbeat(1, 1, 0), now);
    members.hear(Heartbeat { phase: Phase::Starting, ..heartbeat(2, 7, 1) }, now);
    let located: Vec<u32> = members.rank(5, 0, now).iter().map(|it| it.router.id).collect();
    assert_eq!(located, [1]);
    assert_eq!(members.witness(5, now), None);
    members.hear(heartbeat(2, 7, 2), now);
    assert_eq!(members.rank(5, 0, now).len(), 2);
    assert!(members.witness(5, now).is_some());
}

#[test]
fn run_that_has_just_started_is_found_at_its_old_address() {
    let now = Millis(1_000);
    let mut members = Members::new(heartbeat(1, 1, 0), now);
    members.hear(heartbeat(2, 7, 1), now);
    let run = |incarnation| RouterRef { id: 2, incarnation };
    assert!(members.find_run(run(7)).is_some());
    assert!(members.find_run(run(8)).is_some(), "its restart has not been heard of yet");
    assert!(members.find_run(run(6)).is_none(), "a later run has replaced it");
    assert!(members.find_run(RouterRef { id: 3, incarnation: 7 }).is_none());
}

#[test]
fn keyed_request_is_never_said_not_to_have_run_by_a_router_that_cannot_tell() {
    for phase in [Phase::Starting, Phase::Serving, Phase::Draining] {
        assert_eq!(phase.refusal(true).outcome(), Outcome::Unknown);
        assert_eq!(phase.refusal(false).outcome(), Outcome::NotRun);
    }
    assert_eq!(Phase::Starting.refusal(false), Code::Starting);
}
