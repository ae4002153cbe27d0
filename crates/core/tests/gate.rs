//! Admission: the bound holds, shares are kept, and nobody waits for ever.

use std::collections::HashSet;

use mimosaledge_core::{
    Millis,
    gate::{Ask, AskId, Gate, Limits, Verdict},
    members::RunTag,
};

const RUN: RunTag = RunTag(1);
const LIMITS: Limits =
    Limits { bound: 1.25, slots: 8, queue_limit: 4, others_load: 100, engines: 2 };

/// An ask of `workspace` that may wait.
fn ask(serial: u32, workspace: u32, priority: u8) -> Ask {
    Ask {
        id: AskId { run: RUN, serial },
        workspace,
        share: 1.0,
        priority,
        queue_ms: 10_000,
        hold_ms: 60_000,
        fingerprint: serial,
        suspect: false,
        seen_mean: 0.0,
    }
}

fn decide(gate: &mut Gate, ask: Ask, limits: &Limits) -> Verdict {
    gate.ask(ask, limits, Millis(0), &mut Vec::new())
}

/// Fills `gate` with `count` requests of `workspace`.
fn fill(gate: &mut Gate, workspace: u32, count: u32) {
    for serial in 0..count {
        let ask = ask(1_000 * workspace + serial, workspace, 5);
        assert!(decide(gate, ask, &LIMITS).is_granted());
    }
}

macro_rules! limits {
    ($($name:ident: others $others:expr, engines $engines:expr => $admitted:expr;)*) => {$(
        #[test]
        fn $name() {
            let limits = Limits { slots: 100, others_load: $others, engines: $engines, ..LIMITS };
            let mut gate = Gate::default();
            let admitted = (0..100)
                .filter(|&serial| decide(&mut gate, Ask { queue_ms: 0, ..ask(serial, 1, 5) }, &limits) .is_granted())
                .count();
            assert_eq!(admitted, $admitted);
        }
    )*};
}

limits! {
    idle_fleet_admits_one: others 0, engines 3 => 1;
    // (9 + 5) / 3 is 4.67, which rounds up to 5; half of the headroom adds none.
    third_engine_joins_at_the_mean: others 9, engines 3 => 5;
    lone_engine_is_never_over_its_mean: others 0, engines 1 => 100;
    // (80 + 23) / 5 is 20.6, and 1.125 times that is 23.2; the bound itself is 25.8.
    high_mean_uses_half_of_the_headroom: others 80, engines 5 => 23;
}

#[test]
fn bound_holds_in_a_pool_whatever_the_order_of_asks() {
    let mut gates: Vec<Gate> = (0..9).map(|_| Gate::default()).collect();
    for serial in 0..500u32 {
        // Every chat prefers the first engine.
        let placed = (0..9).any(|at| {
            let others = gates.iter().enumerate().filter(|(it, _)| *it != at);
            let others_load = others.map(|(_, gate)| gate.load()).sum();
            let limits = Limits { slots: 1_000, others_load, engines: 9, ..LIMITS };
            let ask = Ask { queue_ms: 0, ..ask(serial, serial % 10, 5) };
            decide(&mut gates[at], ask, &limits).is_granted()
        });
        assert!(placed, "ask {serial} found every engine full");
        let total: u32 = gates.iter().map(Gate::load).sum();
        let mean = f64::from(total) / 9.0;
        let max = f64::from(gates.iter().map(Gate::load).max().unwrap());
        assert!(max <= (mean * 1.25).max(mean.ceil()), "{max} over a mean of {mean}");
    }
}

#[test]
fn repeated_ask_is_answered_alike() {
    let mut gate = Gate::default();
    assert!(decide(&mut gate, ask(1, 1, 5), &LIMITS).is_granted());
    assert!(decide(&mut gate, ask(1, 1, 5), &LIMITS).is_granted());
    assert_eq!(gate.load(), 1);
}

#[test]
fn release_lets_the_next_in() {
    let mut gate = Gate::default();
    fill(&mut gate, 1, 8);
    assert_eq!(decide(&mut gate, ask(1, 1, 5), &LIMITS), Verdict::Queued);
    gate.release(AskId { run: RUN, serial: 1_000 }, Millis(10));
    let verdicts = gate.settle(&LIMITS, Millis(10));
    assert_eq!(verdicts, [(AskId { run: RUN, serial: 1 }, Verdict::Granted { load: 8 })]);
}

#[test]
fn urgent_request_takes_the_place_of_a_batch_request() {
    let mut gate = Gate::default();
    fill(&mut gate, 1, 8);
    for serial in 0..4 {
        assert_eq!(decide(&mut gate, ask(serial, 1, 3), &LIMITS), Verdict::Queued);
    }
    let mut evicted = Vec::new();
    let verdict = gate.ask(ask(9, 1, 9), &LIMITS, Millis(1), &mut evicted);
    assert_eq!(verdict, Verdict::Queued);
    assert_eq!(evicted.len(), 1);
    assert_eq!(gate.queued(), 4);
}

#[test]
fn full_queue_turns_away_at_once_with_a_time_to_come_back() {
    let mut gate = Gate::default();
    fill(&mut gate, 1, 8);
    for serial in 0..4 {
        decide(&mut gate, ask(serial, 1, 5), &LIMITS);
    }
    let verdict = decide(&mut gate, ask(9, 1, 5), &LIMITS);
    assert!(matches!(verdict, Verdict::Refused { retry_ms } if retry_ms > 0));
}

#[test]
fn late_waiters_are_turned_away() {
    let mut gate = Gate::default();
    fill(&mut gate, 1, 8);
    decide(&mut gate, ask(1, 1, 5), &LIMITS);
    let verdicts = gate.settle(&LIMITS, Millis(10_000));
    assert!(matches!(verdicts[..], [(_, Verdict::Refused { .. })]));
}

#[test]
fn lapsed_grants_are_taken_back() {
    let mut gate = Gate::default();
    fill(&mut gate, 1, 8);
    gate.settle(&LIMITS, Millis(60_000));
    assert_eq!(gate.load(), 0);
}

#[test]
fn surging_workspace_leaves_room_for_the_others() {
    let mut gate = Gate::default();
    assert!(decide(&mut gate, ask(0, 2, 5), &LIMITS).is_granted());
    let surge = (1..100).filter(|&it| {
        decide(&mut gate, Ask { queue_ms: 0, ..ask(it, 1, 5) }, &LIMITS).is_granted()
    });
    assert_eq!(surge.count(), 5);
    assert!(decide(&mut gate, ask(200, 2, 5), &LIMITS).is_granted());
    assert!(decide(&mut gate, ask(201, 3, 5), &LIMITS).is_granted());
}

#[test]
fn nobody_waits_for_ever() {
    let mut gate = Gate::default();
    fill(&mut gate, 1, 8);
    let patient = Ask { queue_ms: 60_000, ..ask(1, 1, 0) };
    assert_eq!(decide(&mut gate, patient, &LIMITS), Verdict::Queued);
    // Urgent requests arrive as fast as places fall free.
    for round in 0..60u32 {
        let now = Millis(u64::from(round) * 100);
        gate.ask(ask(2_000 + round, 1, 9), &LIMITS, now, &mut Vec::new());
        gate.release(AskId { run: RUN, serial: 1_000 + round }, now);
        if round >= 8 {
            gate.release(AskId { run: RUN, serial: 2_000 + round - 8 }, now);
        }
        if gate.settle(&LIMITS, now).contains(&(patient.id, Verdict::Granted { load: 8 })) {
            return;
        }
    }
    panic!("the batch request was never let in");
}

#[test]
fn new_home_counts_the_reported_load_for_a_while() {
    let mut gate = Gate::inherit(8, Millis(2_000));
    assert_eq!(
        decide(&mut gate, Ask { queue_ms: 0, ..ask(1, 1, 5) }, &LIMITS),
        Verdict::Full { load: 8, waiting: 0 }
    );
    gate.settle(&LIMITS, Millis(2_000));
    assert_eq!(gate.load(), 0);
}

#[test]
fn dead_router_gives_everything_back() {
    let mut gate = Gate::default();
    fill(&mut gate, 1, 8);
    decide(&mut gate, ask(1, 1, 5), &LIMITS);
    gate.retain_runs(&HashSet::new());
    assert_eq!((gate.load(), gate.queued()), (0, 0));
}

#[test]
fn one_suspect_at_a_time_and_others_pass_it() {
    let mut gate = Gate::default();
    let suspect = |serial| Ask { suspect: true, ..ask(serial, 1, 9) };
    assert!(decide(&mut gate, suspect(1), &LIMITS).is_granted());
    assert_eq!(decide(&mut gate, suspect(2), &LIMITS), Verdict::Queued);
    assert!(decide(&mut gate, ask(3, 1, 0), &LIMITS).is_granted());
    gate.release(suspect(1).id, Millis(1));
    assert_eq!(gate.settle(&LIMITS, Millis(1)), [(suspect(2).id, Verdict::Granted { load: 2 })]);
}

#[test]
fn copies_of_one_request_run_one_after_another() {
    let mut gate = Gate::default();
    let copy = |serial| Ask { fingerprint: 7, ..ask(serial, 1, 5) };
    assert!(decide(&mut gate, copy(1), &LIMITS).is_granted());
    assert_eq!(decide(&mut gate, Ask { queue_ms: 0, ..copy(2) }, &LIMITS), Verdict::Duplicate);
    assert_eq!(decide(&mut gate, copy(2), &LIMITS), Verdict::Queued);
    gate.release(copy(1).id, Millis(1));
    assert_eq!(gate.settle(&LIMITS, Millis(1)), [(copy(2).id, Verdict::Granted { load: 1 })]);
}

#[test]
fn mean_that_a_router_has_seen_lets_a_burst_in() {
    let limits = Limits { others_load: 0, engines: 3, ..LIMITS };
    let mut gate = Gate::default();
    assert!(decide(&mut gate, ask(1, 1, 5), &limits).is_granted());
    assert_eq!(decide(&mut gate, ask(2, 1, 5), &limits), Verdict::Queued);
    assert!(decide(&mut gate, Ask { seen_mean: 3.0, ..ask(3, 1, 5) }, &limits).is_granted());
    // What one router has seen counts for all that wait.
    assert_eq!(gate.settle(&limits, Millis(0)), [(ask(2, 1, 5).id, Verdict::Granted { load: 3 })]);
}
