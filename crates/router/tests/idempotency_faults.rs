//! At-most-once execution under faults: the services count how often each
//! idempotency key runs.

mod support;

use mimosaledge_standin::{
    platform::{Control as PlatformControl, Mode},
    service::{Control, Fault},
};
use support::{Fleet, FleetOptions, Response, run};
use tokio::time::{Duration, Instant, timeout};

/// Maximum time for a response that must not wait for a timeout; below the 2 s
/// deadline of the `booking` class. Also the connect timeout of the connection
/// pools in these tests.
const PROMPT_RESPONSE_LIMIT: Duration = Duration::from_millis(1_500);

/// Injects `fault` into the next request of each service.
async fn inject_fault(fleet: &Fleet, fault: Fault) {
    fleet.control_services(&Control { next: vec![fault], ..Control::default() }).await;
}

/// Returns a new key whose home is router `index`.
async fn new_key(fleet: &Fleet, index: usize) -> String {
    format!("{}.mine", fleet.key_prefix(index).await)
}

/// Sends the key again through every router but `excluded`, checks that each
/// responds with `code`, and returns the last response.
async fn resend_and_check(
    fleet: &Fleet,
    key: &str,
    excluded: Option<usize>,
    code: u16,
) -> Response {
    let mut last = None;
    for index in (0..fleet.routers.len()).filter(|index| Some(*index) != excluded) {
        let response = fleet.send_booking(index, key).await.unwrap();
        assert_eq!(response.code, code, "{response:?}");
        last = Some(response);
    }
    last.unwrap()
}

#[test]
fn resend_returns_the_stored_response() {
    run(async {
        let fleet = Fleet::start(FleetOptions::default()).await;
        let key = new_key(&fleet, 0).await;
        let first = fleet.send_booking(0, &key).await.unwrap();
        assert_eq!(first.code, 1000);
        let again = resend_and_check(&fleet, &key, None, 1001).await;
        assert_eq!(again.body, first.body);
        assert_eq!(fleet.run_count(&key).await, 1);
    });
}

#[test]
fn concurrent_resends_run_once() {
    run(async {
        let fleet = Fleet::start(FleetOptions::default()).await;
        let key = new_key(&fleet, 0).await;
        let (a, b, c, d) = tokio::join!(
            fleet.send_booking(0, &key),
            fleet.send_booking(0, &key),
            fleet.send_booking(1, &key),
            fleet.send_booking(2, &key)
        );
        let mut codes = [a, b, c, d].map(|it| it.unwrap().code);
        codes.sort_unstable();
        assert_eq!(codes[0], 1000);
        assert!(codes[1..].iter().all(|it| [1001, 4000].contains(it)), "{codes:?}");
        assert_eq!(fleet.run_count(&key).await, 1);
    });
}

#[test]
fn key_sent_to_another_router_runs_on_its_home() {
    run(async {
        let fleet = Fleet::start(FleetOptions::default()).await;
        let key = new_key(&fleet, 0).await;
        assert_eq!(fleet.send_booking(2, &key).await.unwrap().code, 1000);
        assert_eq!(fleet.send_booking(0, &key).await.unwrap().code, 1001);
        assert_eq!(fleet.run_count(&key).await, 1);
    });
}

/// Sends a booking while `fault` is injected, and checks the result code and the
/// number of runs.
fn check_outcome_with_fault(fault: Fault, code: u16, runs: u32) {
    run(async {
        let fleet = Fleet::start(FleetOptions::default()).await;
        let key = new_key(&fleet, 0).await;
        inject_fault(&fleet, fault).await;
        let response = fleet.send_booking(0, &key).await.unwrap();
        assert_eq!(response.code, code, "{response:?}");
        resend_and_check(&fleet, &key, None, code).await;
        assert_eq!(fleet.run_count(&key).await, runs);
    });
}

macro_rules! service_faults {
    ($($name:ident: $fault:ident => $code:expr, runs $runs:expr;)*) => {$(
        #[test]
        fn $name() {
            check_outcome_with_fault(Fault::$fault, $code, $runs);
        }
    )*};
}

service_faults! {
    lost_response_has_unknown_outcome: LoseAnswer => 4001, runs 1;
    connection_closed_before_the_run_has_unknown_outcome: Drop => 4001, runs 0;
    response_of_another_request_is_not_delivered: Cross => 4001, runs 1;
    refusal_by_every_service_is_reported_as_not_run: Refuse => 3008, runs 0;
}

#[test]
fn key_runs_after_every_service_refused_an_earlier_key() {
    run(async {
        let fleet = Fleet::start(FleetOptions::default()).await;
        let key = new_key(&fleet, 0).await;
        // Each service rejects its next request and runs the one after it.
        inject_fault(&fleet, Fault::Refuse).await;
        inject_fault(&fleet, Fault::None).await;
        let first = fleet.send_booking(0, &key).await.unwrap();
        assert_eq!(first.code, 3008);
        let key = new_key(&fleet, 0).await;
        assert_eq!(fleet.send_booking(0, &key).await.unwrap().code, 1000);
        assert_eq!(fleet.run_count(&key).await, 1);
    });
}

#[test]
fn crashed_service_is_skipped() {
    run(async {
        let mut fleet = Fleet::start(FleetOptions::default()).await;
        fleet.services[0].kill().await;
        for index in 0..3 {
            let key = new_key(&fleet, index).await;
            assert_eq!(fleet.send_booking(index, &key).await.unwrap().code, 1000);
            assert_eq!(fleet.run_count_at(1, &key).await, 1);
        }
    });
}

#[test]
fn hanging_service_times_out_and_its_key_stays_running() {
    run(async {
        let fleet = Fleet::start(FleetOptions::default()).await;
        let key = new_key(&fleet, 0).await;
        inject_fault(&fleet, Fault::Hang).await;
        assert_eq!(fleet.send_booking(0, &key).await.unwrap().code, 4003);
        resend_and_check(&fleet, &key, None, 4000).await;
        assert_eq!(fleet.run_count(&key).await, 1);
    });
}

#[test]
fn response_after_the_deadline_is_returned_to_a_resend() {
    run(async {
        let fleet = Fleet::start(FleetOptions::default()).await;
        let key = new_key(&fleet, 0).await;
        fleet.control_services(&Control { work_ms: Some(2_200), ..Control::default() }).await;
        assert_eq!(fleet.send_booking(0, &key).await.unwrap().code, 4003);
        loop {
            let response = fleet.send_booking(1, &key).await.unwrap();
            if response.code != 4000 {
                assert_eq!(response.code, 1001);
                break;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(fleet.run_count(&key).await, 1);
    });
}

#[test]
fn slow_run_on_another_router_is_awaited() {
    run(async {
        let fleet = Fleet::start(FleetOptions::default()).await;
        let key = new_key(&fleet, 0).await;
        fleet.control_services(&Control { work_ms: Some(1_500), ..Control::default() }).await;
        assert_eq!(fleet.send_booking(1, &key).await.unwrap().code, 1000);
    });
}

#[test]
fn home_crash_before_the_first_use_seals_the_key() {
    run(async {
        let mut fleet = Fleet::start(FleetOptions::default()).await;
        let key = new_key(&fleet, 0).await;
        fleet.routers[0].process.kill().await;
        let response = resend_and_check(&fleet, &key, Some(0), 3005).await;
        assert!(response.json()["key_prefix"].is_string());
        assert_eq!(fleet.run_count(&key).await, 0);
    });
}

#[test]
fn home_crash_during_the_run_leaves_the_outcome_unknown() {
    run(async {
        let mut fleet = Fleet::start(FleetOptions::default()).await;
        let key = new_key(&fleet, 0).await;
        inject_fault(&fleet, Fault::Hang).await;
        // The client gives up, but the run continues.
        let _ = timeout(Duration::from_millis(300), fleet.send_booking(0, &key)).await;
        while fleet.run_count(&key).await == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        fleet.routers[0].process.kill().await;
        let started = Instant::now();
        resend_and_check(&fleet, &key, Some(0), 4001).await;
        assert!(
            started.elapsed() < 2 * PROMPT_RESPONSE_LIMIT,
            "the unknown outcome must be reported promptly"
        );
        assert_eq!(fleet.run_count(&key).await, 1);
    });
}

#[test]
fn home_crash_after_the_run_leaves_the_response_at_the_witness() {
    run(async {
        let mut fleet = Fleet::start(FleetOptions::default()).await;
        let key = new_key(&fleet, 0).await;
        let first = fleet.send_booking(0, &key).await.unwrap();
        // The outcome is sent to the witness after the response.
        fleet.wait_until(fleet.routers[0].ops, |it| it.handing_over == 0).await;
        fleet.routers[0].process.kill().await;
        let again = resend_and_check(&fleet, &key, Some(0), 1001).await;
        assert_eq!(again.body, first.body);
        assert_eq!(fleet.run_count(&key).await, 1);
    });
}

#[test]
fn graceful_shutdown_leaves_no_unknown_outcome() {
    run(async {
        let fleet = Fleet::start(FleetOptions::default()).await;
        let mut keys = Vec::new();
        let prefix = fleet.key_prefix(0).await;
        fleet.control_services(&Control { work_ms: Some(500), ..Control::default() }).await;
        for n in 0..10 {
            keys.push(format!("{prefix}.{n}"));
        }
        let mut runs = tokio::task::JoinSet::new();
        for key in keys.clone() {
            let (pool, addr) = (
                mimosaledge_net::pool::Pool::new(PROMPT_RESPONSE_LIMIT),
                fleet.routers[0].process.addr,
            );
            runs.spawn_local(async move {
                let headers = [
                    ("x-workspace", "w1"),
                    ("x-class", "booking"),
                    ("x-request-id", "book"),
                    ("idempotency-key", key.as_str()),
                ];
                support::send(&pool, addr, &headers, "{}").await.unwrap().code
            });
        }
        fleet.wait_until(fleet.routers[0].ops, |it| it.open == 10).await;
        fleet.routers[0].stop.begin();
        while let Some(code) = runs.join_next().await {
            assert_eq!(code.unwrap(), 1000);
        }
        while support::status(fleet.routers[0].ops).await.is_some() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        for key in keys {
            resend_and_check(&fleet, &key, Some(0), 1001).await;
            assert_eq!(fleet.run_count(&key).await, 1);
        }
    });
}

#[test]
fn router_handing_over_its_keys_rejects_new_requests() {
    run(async {
        let mut fleet = Fleet::start(FleetOptions { routers: 2, ..FleetOptions::default() }).await;
        let key = new_key(&fleet, 0).await;
        fleet.control_services(&Control { work_ms: Some(400), ..Control::default() }).await;
        let (home, ops) = (fleet.routers[0].process.addr, fleet.routers[0].ops);
        let open = tokio::task::spawn_local(async move {
            let pool = mimosaledge_net::pool::Pool::new(PROMPT_RESPONSE_LIMIT);
            let headers = [
                ("x-workspace", "w1"),
                ("x-class", "booking"),
                ("x-request-id", "book"),
                ("idempotency-key", key.as_str()),
            ];
            support::send(&pool, home, &headers, "{}").await.unwrap().code
        });
        fleet.wait_until(ops, |it| it.open == 1).await;
        // A crashed witness prolongs the hand-over until its retries are exhausted.
        fleet.routers[1].process.kill().await;
        fleet.routers[0].stop.begin();
        fleet.wait_until(ops, |it| it.state == "handing_over").await;
        let late = fleet.send_chat(0, "late", 1).await.unwrap();
        assert_eq!(late.code, 3001, "{late:?}");
        assert_eq!(open.await.unwrap(), 1000);
    });
}

#[test]
fn crashed_witness_leads_to_a_usable_new_prefix() {
    run(async {
        let mut fleet = Fleet::start(FleetOptions { routers: 2, ..FleetOptions::default() }).await;
        let key = new_key(&fleet, 0).await;
        fleet.routers[1].process.kill().await;
        let rejected = fleet.send_booking(0, &key).await.unwrap();
        assert_eq!(rejected.code, 3007);
        assert_eq!(fleet.run_count(&key).await, 0);
        // Once the witness counts as dead, the remaining router needs none.
        loop {
            let prefix = fleet.key_prefix(0).await;
            let response = fleet.send_booking(0, &format!("{prefix}.mine")).await.unwrap();
            if response.code == 1000 {
                break;
            }
            assert_eq!(response.code, 3007);
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    });
}

#[test]
fn bookings_succeed_during_a_platform_outage() {
    run(async {
        let fleet = Fleet::start(FleetOptions::default()).await;
        let down = Some(Mode::Hang);
        let control = PlatformControl { log: down, list: down, ..PlatformControl::default() };
        fleet.control_platform(&control).await;
        for index in 0..3 {
            let key = new_key(&fleet, index).await;
            assert_eq!(fleet.send_booking(index, &key).await.unwrap().code, 1000);
            resend_and_check(&fleet, &key, None, 1001).await;
            assert_eq!(fleet.run_count(&key).await, 1);
        }
    });
}

#[test]
fn no_outcome_is_unknown_without_a_fault() {
    run(async {
        let fleet = Fleet::start(FleetOptions::default()).await;
        for n in 0..100 {
            let key = new_key(&fleet, n % 3).await;
            assert_eq!(fleet.send_booking((n + 1) % 3, &key).await.unwrap().code, 1000);
            assert_eq!(fleet.run_count(&key).await, 1);
        }
    });
}
