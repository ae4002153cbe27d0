//! Tests of admission control: the load bound, fair shares and queue order.

use std::collections::HashSet;

use mimosaledge_core::{
    Millis,
    admission::{AdmissionController, AdmissionId, AdmissionRequest, Decision, Limits},
    members::RunTag,
};

const RUN: RunTag = RunTag(1);
const LIMITS: Limits =
    Limits { bound: 1.25, slots: 8, queue_limit: 4, others_load: 100, engines: 2 };

/// Returns a request of `workspace` that may be queued.
fn request(serial: u32, workspace: u32, priority: u8) -> AdmissionRequest {
    AdmissionRequest {
        id: AdmissionId { run: RUN, serial },
        workspace,
        share: 1.0,
        priority,
        queue_ms: 10_000,
        grant_ttl_ms: 60_000,
        fingerprint: serial,
        suspect: false,
        observed_mean: 0.0,
    }
}

fn decide(
    controller: &mut AdmissionController,
    request: AdmissionRequest,
    limits: &Limits,
) -> Decision {
    controller.decide(request, limits, Millis(0), &mut Vec::new())
}

/// Admits `count` requests of `workspace`.
fn fill(controller: &mut AdmissionController, workspace: u32, count: u32) {
    for serial in 0..count {
        let request = request(1_000 * workspace + serial, workspace, 5);
        assert!(decide(controller, request, &LIMITS).is_granted());
    }
}

macro_rules! admitted_counts {
    ($($name:ident: others $others:expr, engines $engines:expr => $admitted:expr;)*) => {$(
        #[test]
        fn $name() {
            let limits = Limits { slots: 100, others_load: $others, engines: $engines, ..LIMITS };
            let mut controller = AdmissionController::default();
            let admitted = (0..100)
                .filter(|&serial| {
                    let request = AdmissionRequest { queue_ms: 0, ..request(serial, 1, 5) };
                    decide(&mut controller, request, &limits).is_granted()
                })
                .count();
            assert_eq!(admitted, $admitted);
        }
    )*};
}

admitted_counts! {
    idle_pool_admits_one: others 0, engines 3 => 1;
    // The mean (9 + 5) / 3 = 4.67 rounds up to 5; half of the headroom adds nothing.
    idle_engine_fills_up_to_the_mean: others 9, engines 3 => 5;
    single_engine_is_limited_by_slots_only: others 0, engines 1 => 100;
    // The mean is (80 + 23) / 5 = 20.6; 1.125 times that is 23.2, and the bound
    // itself, 1.25 times, is 25.8.
    high_mean_uses_half_of_the_headroom: others 80, engines 5 => 23;
}

#[test]
fn bound_holds_when_every_chat_prefers_one_engine() {
    let mut controllers: Vec<AdmissionController> =
        (0..9).map(|_| AdmissionController::default()).collect();
    for serial in 0..500u32 {
        // Every chat prefers the first engine.
        let admitted = (0..9).any(|at| {
            let others = controllers.iter().enumerate().filter(|(it, _)| *it != at);
            let others_load = others.map(|(_, controller)| controller.load()).sum();
            let limits = Limits { slots: 1_000, others_load, engines: 9, ..LIMITS };
            let request = AdmissionRequest { queue_ms: 0, ..request(serial, serial % 10, 5) };
            decide(&mut controllers[at], request, &limits).is_granted()
        });
        assert!(admitted, "request {serial} was rejected by every engine");
        let total: u32 = controllers.iter().map(AdmissionController::load).sum();
        let mean = f64::from(total) / 9.0;
        let max = f64::from(controllers.iter().map(AdmissionController::load).max().unwrap());
        assert!(max <= (mean * 1.25).max(mean.ceil()), "{max} over a mean of {mean}");
    }
}

#[test]
fn repeated_request_is_granted_once() {
    let mut controller = AdmissionController::default();
    assert!(decide(&mut controller, request(1, 1, 5), &LIMITS).is_granted());
    assert!(decide(&mut controller, request(1, 1, 5), &LIMITS).is_granted());
    assert_eq!(controller.load(), 1);
}

#[test]
fn release_admits_the_next_queued_request() {
    let mut controller = AdmissionController::default();
    fill(&mut controller, 1, 8);
    assert_eq!(decide(&mut controller, request(1, 1, 5), &LIMITS), Decision::Queued);
    controller.release(AdmissionId { run: RUN, serial: 1_000 }, Millis(10));
    let decisions = controller.process_queue(&LIMITS, Millis(10));
    assert_eq!(decisions, [(AdmissionId { run: RUN, serial: 1 }, Decision::Granted { load: 8 })]);
}

#[test]
fn higher_priority_request_evicts_a_queued_one() {
    let mut controller = AdmissionController::default();
    fill(&mut controller, 1, 8);
    for serial in 0..4 {
        assert_eq!(decide(&mut controller, request(serial, 1, 3), &LIMITS), Decision::Queued);
    }
    let mut evicted = Vec::new();
    let decision = controller.decide(request(9, 1, 9), &LIMITS, Millis(1), &mut evicted);
    assert_eq!(decision, Decision::Queued);
    assert_eq!(evicted.len(), 1);
    assert_eq!(controller.queued(), 4);
}

#[test]
fn full_queue_rejects_with_a_retry_delay() {
    let mut controller = AdmissionController::default();
    fill(&mut controller, 1, 8);
    for serial in 0..4 {
        decide(&mut controller, request(serial, 1, 5), &LIMITS);
    }
    let decision = decide(&mut controller, request(9, 1, 5), &LIMITS);
    assert!(matches!(decision, Decision::Refused { retry_ms } if retry_ms > 0));
}

#[test]
fn queued_request_is_rejected_after_its_timeout() {
    let mut controller = AdmissionController::default();
    fill(&mut controller, 1, 8);
    decide(&mut controller, request(1, 1, 5), &LIMITS);
    let decisions = controller.process_queue(&LIMITS, Millis(10_000));
    assert!(matches!(decisions[..], [(_, Decision::Refused { .. })]));
}

#[test]
fn expired_grants_are_released() {
    let mut controller = AdmissionController::default();
    fill(&mut controller, 1, 8);
    controller.process_queue(&LIMITS, Millis(60_000));
    assert_eq!(controller.load(), 0);
}

#[test]
fn burst_of_one_workspace_leaves_slots_for_others() {
    let mut controller = AdmissionController::default();
    assert!(decide(&mut controller, request(0, 2, 5), &LIMITS).is_granted());
    let admitted = (1..100).filter(|&it| {
        decide(&mut controller, AdmissionRequest { queue_ms: 0, ..request(it, 1, 5) }, &LIMITS)
            .is_granted()
    });
    assert_eq!(admitted.count(), 5);
    assert!(decide(&mut controller, request(200, 2, 5), &LIMITS).is_granted());
    assert!(decide(&mut controller, request(201, 3, 5), &LIMITS).is_granted());
}

#[test]
fn low_priority_request_is_not_starved() {
    let mut controller = AdmissionController::default();
    fill(&mut controller, 1, 8);
    let low_priority = AdmissionRequest { queue_ms: 60_000, ..request(1, 1, 0) };
    assert_eq!(decide(&mut controller, low_priority, &LIMITS), Decision::Queued);
    // Higher-priority requests arrive as fast as grants are released.
    for round in 0..60u32 {
        let now = Millis(u64::from(round) * 100);
        controller.decide(request(2_000 + round, 1, 9), &LIMITS, now, &mut Vec::new());
        controller.release(AdmissionId { run: RUN, serial: 1_000 + round }, now);
        if round >= 8 {
            controller.release(AdmissionId { run: RUN, serial: 2_000 + round - 8 }, now);
        }
        if controller
            .process_queue(&LIMITS, now)
            .contains(&(low_priority.id, Decision::Granted { load: 8 }))
        {
            return;
        }
    }
    panic!("the low-priority request was never admitted");
}

#[test]
fn new_home_counts_the_reported_load_until_it_expires() {
    let mut controller = AdmissionController::with_inherited_load(8, Millis(2_000));
    assert_eq!(
        decide(&mut controller, AdmissionRequest { queue_ms: 0, ..request(1, 1, 5) }, &LIMITS),
        Decision::Full { load: 8, waiting: 0 }
    );
    controller.process_queue(&LIMITS, Millis(2_000));
    assert_eq!(controller.load(), 0);
}

#[test]
fn dead_router_loses_its_grants_and_queued_requests() {
    let mut controller = AdmissionController::default();
    fill(&mut controller, 1, 8);
    decide(&mut controller, request(1, 1, 5), &LIMITS);
    controller.retain_runs(&HashSet::new());
    assert_eq!((controller.load(), controller.queued()), (0, 0));
}

#[test]
fn one_suspect_runs_at_a_time_without_blocking_others() {
    let mut controller = AdmissionController::default();
    let suspect = |serial| AdmissionRequest { suspect: true, ..request(serial, 1, 9) };
    assert!(decide(&mut controller, suspect(1), &LIMITS).is_granted());
    assert_eq!(decide(&mut controller, suspect(2), &LIMITS), Decision::Queued);
    assert!(decide(&mut controller, request(3, 1, 0), &LIMITS).is_granted());
    controller.release(suspect(1).id, Millis(1));
    assert_eq!(
        controller.process_queue(&LIMITS, Millis(1)),
        [(suspect(2).id, Decision::Granted { load: 2 })]
    );
}

#[test]
fn duplicate_requests_run_one_after_another() {
    let mut controller = AdmissionController::default();
    let duplicate = |serial| AdmissionRequest { fingerprint: 7, ..request(serial, 1, 5) };
    assert!(decide(&mut controller, duplicate(1), &LIMITS).is_granted());
    assert_eq!(
        decide(&mut controller, AdmissionRequest { queue_ms: 0, ..duplicate(2) }, &LIMITS),
        Decision::Duplicate
    );
    assert_eq!(decide(&mut controller, duplicate(2), &LIMITS), Decision::Queued);
    controller.release(duplicate(1).id, Millis(1));
    assert_eq!(
        controller.process_queue(&LIMITS, Millis(1)),
        [(duplicate(2).id, Decision::Granted { load: 1 })]
    );
}

#[test]
fn observed_mean_raises_the_limit() {
    let limits = Limits { others_load: 0, engines: 3, ..LIMITS };
    let mut controller = AdmissionController::default();
    assert!(decide(&mut controller, request(1, 1, 5), &limits).is_granted());
    assert_eq!(decide(&mut controller, request(2, 1, 5), &limits), Decision::Queued);
    assert!(
        decide(
            &mut controller,
            AdmissionRequest { observed_mean: 3.0, ..request(3, 1, 5) },
            &limits
        )
        .is_granted()
    );
    // The mean observed by one router applies to all queued requests.
    assert_eq!(
        controller.process_queue(&limits, Millis(0)),
        [(request(2, 1, 5).id, Decision::Granted { load: 3 })]
    );
}
