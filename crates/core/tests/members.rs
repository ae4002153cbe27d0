//! Tests of router membership: startup grace, failure detection and selection.
//!
//! They guard against a starting fleet whose routers declare each other dead
//! before the first round of gossip has reached everyone.

use mimosaledge_core::{
    Code, Millis, Outcome,
    members::{FAILURE_TIMEOUT_MS, Heartbeat, Members, Phase, RouterRef},
};

/// Startup grace: longest time that gossip takes to reach every router when a
/// whole fleet starts.
const STARTUP_GRACE_MS: u64 = 5_000;

fn heartbeat(id: u32, incarnation: u64, sequence: u32) -> Heartbeat {
    let address = "127.0.0.1:1".parse().unwrap();
    Heartbeat {
        router: RouterRef { id, incarnation },
        sequence,
        http: address,
        peer: address,
        data_centre: 0,
        phase: Phase::Serving,
        head: 0,
    }
}

fn fleet_with_listed_router(now: Millis) -> Members {
    let mut members = Members::new(heartbeat(1, 1, 0), now);
    members.add_listed(heartbeat(2, 0, 0), now);
    members
}

#[test]
fn first_heartbeat_does_not_end_the_startup_grace() {
    let start = Millis(1_000);
    let mut members = fleet_with_listed_router(start);
    assert!(members.merge_heartbeat(heartbeat(2, 7, 1), start + 200));
    for ms in (0..STARTUP_GRACE_MS).step_by(100) {
        assert_eq!(members.peers(start + 200 + ms).count(), 1, "counted as dead after {ms} ms");
    }
}

#[test]
fn compact_heartbeat_does_not_end_the_startup_grace() {
    let start = Millis(1_000);
    let mut members = fleet_with_listed_router(start);
    members.merge_heartbeat(heartbeat(2, 7, 1), start + 100);
    let tag = RouterRef { id: 2, incarnation: 7 }.tag();
    assert_eq!(members.merge_compact_heartbeat(tag, 2, start + 300), Some(2));
    assert_eq!(members.peers(start + STARTUP_GRACE_MS).count(), 1);
}

#[test]
fn silent_router_is_dead_after_the_startup_grace() {
    let start = Millis(1_000);
    let mut members = fleet_with_listed_router(start);
    members.merge_heartbeat(heartbeat(2, 7, 1), start + STARTUP_GRACE_MS + 100);
    assert_eq!(members.peers(start + STARTUP_GRACE_MS + 100 + FAILURE_TIMEOUT_MS - 1).count(), 1);
    assert_eq!(members.peers(start + STARTUP_GRACE_MS + 100 + FAILURE_TIMEOUT_MS).count(), 0);
}

#[test]
fn draining_router_gets_no_startup_grace() {
    let start = Millis(1_000);
    let mut members = fleet_with_listed_router(start);
    members.merge_heartbeat(heartbeat(2, 7, 1), start + 100);
    members
        .merge_heartbeat(Heartbeat { phase: Phase::Draining, ..heartbeat(2, 7, 2) }, start + 500);
    assert_eq!(members.peers(start + 500 + FAILURE_TIMEOUT_MS - 1).count(), 1);
    assert_eq!(members.peers(start + 500 + FAILURE_TIMEOUT_MS).count(), 0);
}

#[test]
fn starting_router_is_neither_ranked_nor_a_witness() {
    let now = Millis(1_000);
    let mut members = Members::new(heartbeat(1, 1, 0), now);
    members.merge_heartbeat(Heartbeat { phase: Phase::Starting, ..heartbeat(2, 7, 1) }, now);
    let ranked: Vec<u32> = members.rank_serving(5, 0, now).iter().map(|it| it.router.id).collect();
    assert_eq!(ranked, [1]);
    assert_eq!(members.witness(5, now), None);
    members.merge_heartbeat(heartbeat(2, 7, 2), now);
    assert_eq!(members.rank_serving(5, 0, now).len(), 2);
    assert!(members.witness(5, now).is_some());
}

#[test]
fn unknown_later_run_is_found_at_the_known_address() {
    let now = Millis(1_000);
    let mut members = Members::new(heartbeat(1, 1, 0), now);
    members.merge_heartbeat(heartbeat(2, 7, 1), now);
    let run = |incarnation| RouterRef { id: 2, incarnation };
    assert!(members.find_run(run(7)).is_some());
    assert!(members.find_run(run(8)).is_some(), "no heartbeat of the later run has arrived yet");
    assert!(members.find_run(run(6)).is_none(), "a later run has replaced it");
    assert!(members.find_run(RouterRef { id: 3, incarnation: 7 }).is_none());
}

#[test]
fn keyed_request_is_never_rejected_as_not_run() {
    for phase in [Phase::Starting, Phase::Serving, Phase::Draining] {
        assert_eq!(phase.refusal_code(true).outcome(), Outcome::Unknown);
        assert_eq!(phase.refusal_code(false).outcome(), Outcome::NotRun);
    }
    assert_eq!(Phase::Starting.refusal_code(false), Code::Starting);
}
