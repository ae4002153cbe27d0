//! Tests of membership, endpoint health, quarantine, retry budgets, state charts
//! and result codes.

use std::{collections::HashSet, rc::Rc};

use mimosaledge_core::{
    Millis,
    chart::Chart,
    code::Code,
    endpoints::{EndpointId, EndpointInfo, EndpointKind, Endpoints, LoadReport},
    members::{FAILURE_TIMEOUT_MS, Heartbeat, Members, Phase, RouterRef, hash_data_centre},
    quarantine::{CRASH_LIMIT, CRASH_RETENTION_MS, Crash, Quarantine, QuarantineStatus},
    retry_budget::RetryBudget,
};

fn heartbeat(id: u32, incarnation: u64, sequence: u32) -> Heartbeat {
    let data_centre = ["a", "b", "c"][id as usize % 3];
    Heartbeat {
        router: RouterRef { id, incarnation },
        sequence,
        http: ([127, 0, 0, 1], 1_000 + id as u16).into(),
        peer: ([127, 0, 0, 1], 2_000 + id as u16).into(),
        data_centre: hash_data_centre(data_centre),
        phase: Phase::Serving,
        head: 0,
    }
}

fn fleet(count: u32) -> Members {
    let mut members = Members::new(heartbeat(0, 1, 0), Millis(0));
    for id in 1..count {
        members.merge_heartbeat(heartbeat(id, 1, 0), Millis(0));
    }
    members
}

#[test]
fn silent_router_is_dead_until_a_newer_heartbeat() {
    let mut members = fleet(3);
    members.merge_heartbeat(heartbeat(1, 1, 1), Millis(2_000));
    let now = Millis(FAILURE_TIMEOUT_MS);
    assert_eq!(members.peers(now).map(|it| it.heartbeat.router.id).collect::<Vec<_>>(), [1]);
    // A relayed heartbeat with a known sequence number does not revive a router.
    assert!(!members.merge_heartbeat(heartbeat(2, 1, 0), now));
    assert!(members.merge_heartbeat(heartbeat(2, 1, 1), now));
    assert_eq!(members.peers(now).count(), 2);
}

#[test]
fn restarted_router_replaces_its_earlier_run() {
    let mut members = fleet(2);
    assert!(members.merge_heartbeat(heartbeat(1, 2, 0), Millis(10)));
    assert!(!members.merge_heartbeat(heartbeat(1, 1, 9), Millis(20)));
    assert_eq!(members.get(1).unwrap().heartbeat.router.incarnation, 2);
}

#[test]
fn compact_heartbeat_applies_only_to_its_own_run() {
    let mut members = fleet(3);
    let run = RouterRef { id: 1, incarnation: 1 }.tag();
    assert_eq!(members.merge_compact_heartbeat(run, 5, Millis(100)), Some(1));
    assert_eq!(members.merge_compact_heartbeat(run, 5, Millis(200)), None);
    let other = RouterRef { id: 1, incarnation: 2 }.tag();
    assert_eq!(members.merge_compact_heartbeat(other, 9, Millis(200)), None);
    assert_eq!(members.get(1).unwrap().last_heard, Millis(100));
}

#[test]
fn pause_of_this_process_does_not_make_peers_dead() {
    let mut members = fleet(3);
    members.compensate_pause(10_000);
    assert_eq!(members.peers(Millis(10_500)).count(), 2);
    let alive = members.alive_runs(Millis(10_500));
    assert!(alive.contains(&RouterRef { id: 1, incarnation: 1 }.tag()));
    assert!(!alive.contains(&RouterRef { id: 1, incarnation: 2 }.tag()));
}

#[test]
fn suspected_router_is_excluded_temporarily() {
    let mut members = fleet(4);
    let home = members.admission_home(77, Millis(0)).router.id;
    let other = members.witness(1, Millis(0)).unwrap().router.id;
    members.mark_suspect(other, Millis(0));
    assert_ne!(members.witness(1, Millis(0)).unwrap().router.id, other);
    members.mark_suspect(home, Millis(0));
    assert_eq!(members.admission_home(77, Millis(1_500)).router.id, home);
}

#[test]
fn witness_is_in_another_data_centre() {
    let members = fleet(9);
    for key in 0..100 {
        assert_ne!(members.witness(key, Millis(0)).unwrap().data_centre, hash_data_centre("a"));
    }
}

#[test]
fn draining_router_is_not_ranked() {
    let mut members = fleet(6);
    members.merge_heartbeat(Heartbeat { phase: Phase::Draining, ..heartbeat(3, 1, 1) }, Millis(0));
    let ranked = members.rank_serving(5, hash_data_centre("a"), Millis(0));
    assert!(ranked.iter().all(|it| it.router.id != 3));
    assert_eq!(ranked.len(), 5);
    assert_eq!(ranked[0].data_centre, hash_data_centre("a"));
}

#[test]
fn listed_router_without_heartbeat_is_no_witness() {
    let mut members = Members::new(heartbeat(0, 1, 0), Millis(0));
    members.add_listed(heartbeat(1, 0, 0), Millis(0));
    assert_eq!(members.witness(1, Millis(0)), None);
}

#[test]
fn listed_router_counts_as_alive_during_the_startup_grace() {
    let mut members = Members::new(heartbeat(0, 1, 0), Millis(0));
    members.add_listed(heartbeat(1, 0, 0), Millis(0));
    assert_eq!(members.peers(Millis(7_900)).count(), 1);
    assert_eq!(members.peers(Millis(8_000)).count(), 0);
    // Its first heartbeat replaces the listed entry but keeps the startup grace.
    members.add_listed(heartbeat(2, 0, 0), Millis(0));
    members.merge_heartbeat(heartbeat(2, 1, 0), Millis(100));
    let member = members.get(2).unwrap();
    assert_eq!((member.heartbeat.router.incarnation, member.last_heard), (1, Millis(5_000)));
    members.merge_heartbeat(heartbeat(2, 1, 1), Millis(5_200));
    assert_eq!(members.get(2).unwrap().last_heard, Millis(5_200));
}

fn endpoints() -> (Endpoints, EndpointId) {
    let mut endpoints = Endpoints::new().unwrap();
    let info = EndpointInfo {
        name: "e1".into(),
        kind: EndpointKind::Engine,
        addr: ([127, 0, 0, 1], 1).into(),
        data_centre: "z".into(),
        region: "r".into(),
    };
    endpoints.apply_vm_list(vec![info], &HashSet::new());
    (endpoints, EndpointId::from_name("e1"))
}

const REPORT: LoadReport = LoadReport { incarnation: 1, load: 0, leaving: false, model: 9 };

#[test]
fn unproven_endpoint_receives_no_requests() {
    let (endpoints, _) = endpoints();
    assert_eq!(endpoints.live_engines(9).count(), 0);
}

#[test]
fn endpoint_stays_live_after_one_failed_probe() {
    let (mut endpoints, id) = endpoints();
    let endpoint = endpoints.get_mut(id).unwrap();
    endpoint.record_success(REPORT, Millis(0));
    endpoint.record_failure(Millis(1));
    assert!(endpoint.is_live());
    endpoint.record_failure(Millis(2));
    assert!(!endpoint.is_live());
}

#[test]
fn probation_of_a_flapping_endpoint_grows() {
    let (mut endpoints, id) = endpoints();
    let endpoint = endpoints.get_mut(id).unwrap();
    endpoint.record_success(REPORT, Millis(0));
    let mut now = 0;
    let mut waits = Vec::new();
    for _ in 0..3 {
        endpoint.record_refused_connection(Millis(now));
        let refused_at = now;
        while !endpoint.is_live() {
            now += 100;
            endpoint.record_success(REPORT, Millis(now));
        }
        waits.push(now - refused_at);
    }
    assert!(waits[0] < waits[1] && waits[1] < waits[2], "{waits:?}");
}

#[test]
fn leaving_endpoint_is_replaced_only_by_another_incarnation() {
    let (mut endpoints, id) = endpoints();
    let endpoint = endpoints.get_mut(id).unwrap();
    endpoint.record_success(REPORT, Millis(0));
    endpoint.record_leave_notice(1);
    endpoint.record_success(REPORT, Millis(1));
    assert!(!endpoint.is_live());
    endpoint.record_success(LoadReport { incarnation: 2, ..REPORT }, Millis(2));
    assert!(endpoint.is_live());
}

#[test]
fn leave_notice_for_an_earlier_incarnation_is_ignored() {
    let (mut endpoints, id) = endpoints();
    let endpoint = endpoints.get_mut(id).unwrap();
    endpoint.record_success(LoadReport { incarnation: 2, ..REPORT }, Millis(0));
    endpoint.record_leave_notice(1);
    assert!(endpoint.is_live());
}

fn crash(endpoint: u32) -> Crash {
    Crash { endpoint: EndpointId(endpoint), incarnation: 1 }
}

#[test]
fn request_is_refused_after_two_endpoint_crashes() {
    let mut quarantine = Quarantine::default();
    assert_eq!(quarantine.status(1, Millis(0)), QuarantineStatus::Clean);
    assert!(quarantine.record_crash(1, crash(1), Millis(0)));
    assert_eq!(quarantine.status(1, Millis(0)), QuarantineStatus::Suspect);
    // Several routers may report the same crash.
    assert!(!quarantine.record_crash(1, crash(1), Millis(0)));
    assert_eq!(quarantine.status(1, Millis(0)), QuarantineStatus::Suspect);
    assert!(quarantine.record_crash(1, crash(2), Millis(0)));
    assert!(matches!(quarantine.status(1, Millis(0)), QuarantineStatus::Refused(_)));
    assert_eq!(quarantine.status(1, Millis(CRASH_RETENTION_MS)), QuarantineStatus::Clean);
}

#[test]
fn refusal_ends_when_its_crashes_expire() {
    const RETENTION_MS: u64 = 120_000;
    let mut quarantine = Quarantine::with_retention(RETENTION_MS);
    assert!(quarantine.record_crash(7, 1, Millis(0)));
    assert!(!quarantine.record_crash(7, 1, Millis(0)), "a crash counts once");
    assert!(!quarantine.is_refused(7, Millis(0)));
    for crash in 2..=CRASH_LIMIT as u64 {
        quarantine.record_crash(7, crash, Millis(0));
    }
    assert!(quarantine.is_refused(7, Millis(RETENTION_MS - 1)));
    assert!(!quarantine.is_refused(8, Millis(0)));
    assert!(!quarantine.is_refused(7, Millis(RETENTION_MS)));
    quarantine.clear_suspect(7);
    assert!(!quarantine.is_refused(7, Millis(0)));
}

#[test]
fn refusal_of_another_process_holds_until_it_ends_or_the_request_completes() {
    let mut quarantine: Quarantine = Quarantine::default();
    quarantine.learn_refusal(1, 5_000, Millis(1_000));
    quarantine.learn_refusal(2, 5_000, Millis(1_000));
    assert_eq!(quarantine.status(1, Millis(2_000)), QuarantineStatus::Refused(4_000));
    assert_eq!(quarantine.refusals(Millis(2_000)).len(), 2);
    assert!(!quarantine.is_refused(1, Millis(6_000)));
    quarantine.clear_suspect(2);
    assert_eq!(quarantine.status(2, Millis(2_000)), QuarantineStatus::Clean);
}

#[test]
fn repeated_crash_report_does_not_extend_its_lifetime() {
    let mut quarantine = Quarantine::with_retention(1_000);
    quarantine.record_crash(7, 1, Millis(0));
    quarantine.record_crash(7, 2, Millis(0));
    quarantine.record_crash(7, 2, Millis(900));
    assert!(!quarantine.is_refused(7, Millis(1_000)));
}

#[test]
fn successful_request_clears_its_crash_count() {
    let mut quarantine = Quarantine::default();
    quarantine.record_crash(1, crash(1), Millis(0));
    quarantine.clear_suspect(1);
    quarantine.record_crash(1, crash(2), Millis(0));
    assert_eq!(quarantine.status(1, Millis(0)), QuarantineStatus::Suspect);
}

#[test]
fn retries_are_limited_to_a_share_of_requests() {
    let mut budget = RetryBudget::default();
    let workspace = "w".into();
    while budget.try_acquire(&workspace) {}
    for _ in 0..100 {
        budget.credit(&workspace, 10);
    }
    let retries = (0..100).filter(|_| budget.try_acquire(&workspace)).count();
    assert!((9..=10).contains(&retries), "{retries}");
}

#[test]
fn chart_with_undefined_state_is_rejected() {
    assert!(Chart::from_yaml("initial: a\nstates: { a: { go: b } }").is_err());
    assert!(Chart::from_yaml("initial: b\nstates: { a: {} }").is_err());
}

#[test]
fn event_without_transition_is_ignored() {
    let chart = Chart::from_yaml("initial: a\nstates: { a: { go: b }, b: {} }").unwrap();
    let mut machine = Rc::new(chart).start();
    assert!(!machine.apply("other"));
    assert!(machine.apply("go"));
    assert!(!machine.apply("go"));
    assert!(machine.is_in("b"));
}

#[test]
fn codes_are_unique_and_in_numeric_order() {
    let numbers: Vec<u16> = Code::ALL.iter().map(|it| it.as_u16()).collect();
    assert!(numbers.is_sorted_by(|a, b| a < b));
}

#[test]
fn every_code_is_documented() {
    let table = include_str!("../../../docs/CODES.md");
    for code in Code::ALL {
        let row = format!("| {} | {} |", code.as_u16(), code.message());
        assert!(table.contains(&row), "missing: {row}");
    }
}
