//! At-most-once execution on a running fleet, judged by the services' counts.

mod support;

use mimosaledge_standin::{
    platform::{Control as PlatformControl, Mode},
    service::{Control, Fault},
};
use support::{Answer, Fleet, Plan, run};
use tokio::time::{Duration, Instant, timeout};

/// Bound on an answer that must come at once; far below every deadline.
const AT_ONCE: Duration = Duration::from_millis(1_500);

/// Makes the services treat the next requests with `fault`.
async fn fail_next(fleet: &Fleet, fault: Fault) {
    fleet.control_services(&Control { next: vec![fault], ..Control::default() }).await;
}

async fn key(fleet: &Fleet, at: usize) -> String {
    format!("{}.mine", fleet.prefix(at).await)
}

/// Sends the key again through every router but `gone`, and checks that all
/// say `code`.
async fn resend(fleet: &Fleet, key: &str, gone: Option<usize>, code: u16) -> Answer {
    let mut last = None;
    for at in (0..fleet.routers.len()).filter(|at| Some(*at) != gone) {
        let answer = fleet.book(at, key).await.unwrap();
        assert_eq!(answer.code, code, "{answer:?}");
        last = Some(answer);
    }
    last.unwrap()
}

#[test]
fn resends_get_the_kept_answer() {
    run(async {
        let fleet = Fleet::start(Plan::default()).await;
        let key = key(&fleet, 0).await;
        let first = fleet.book(0, &key).await.unwrap();
        assert_eq!(first.code, 1000);
        let again = resend(&fleet, &key, None, 1001).await;
        assert_eq!(again.body, first.body);
        assert_eq!(fleet.runs(&key).await, 1);
    });
}

#[test]
fn resends_at_once_run_once() {
    run(async {
        let fleet = Fleet::start(Plan::default()).await;
        let key = key(&fleet, 0).await;
        let (a, b, c, d) = tokio::join!(
            fleet.book(0, &key),
            fleet.book(0, &key),
            fleet.book(1, &key),
            fleet.book(2, &key)
        );
        let mut codes = [a, b, c, d].map(|it| it.unwrap().code);
        codes.sort_unstable();
        assert_eq!(codes[0], 1000);
        assert!(codes[1..].iter().all(|it| [1001, 4000].contains(it)), "{codes:?}");
        assert_eq!(fleet.runs(&key).await, 1);
    });
}

#[test]
fn key_sent_to_another_router_runs_at_its_home() {
    run(async {
        let fleet = Fleet::start(Plan::default()).await;
        let key = key(&fleet, 0).await;
        assert_eq!(fleet.book(2, &key).await.unwrap().code, 1000);
        assert_eq!(fleet.book(0, &key).await.unwrap().code, 1001);
        assert_eq!(fleet.runs(&key).await, 1);
    });
}

/// Books while the services have `fault` and checks the code and the runs.
fn book_with(fault: Fault, code: u16, runs: u32) {
    run(async {
        let fleet = Fleet::start(Plan::default()).await;
        let key = key(&fleet, 0).await;
        fail_next(&fleet, fault).await;
        let answer = fleet.book(0, &key).await.unwrap();
        assert_eq!(answer.code, code, "{answer:?}");
        resend(&fleet, &key, None, code).await;
        assert_eq!(fleet.runs(&key).await, runs);
    });
}

macro_rules! service_faults {
    ($($name:ident: $fault:ident => $code:expr, runs $runs:expr;)*) => {$(
        #[test]
        fn $name() {
            book_with(Fault::$fault, $code, $runs);
        }
    )*};
}

service_faults! {
    lost_answer_is_unknown: LoseAnswer => 4001, runs 1;
    connection_cut_before_the_run_is_unknown: Drop => 4001, runs 0;
    crossed_answer_is_never_delivered: Cross => 4001, runs 1;
    refusal_by_every_service_is_not_run: Refuse => 3008, runs 0;
}

#[test]
fn refusal_by_one_service_moves_on_to_the_next() {
    run(async {
        let fleet = Fleet::start(Plan::default()).await;
        let key = key(&fleet, 0).await;
        // Whichever service is asked first refuses once.
        fail_next(&fleet, Fault::Refuse).await;
        fail_next(&fleet, Fault::None).await;
        let first = fleet.book(0, &key).await.unwrap();
        assert_eq!(first.code, 3008);
        let key = self::key(&fleet, 0).await;
        assert_eq!(fleet.book(0, &key).await.unwrap().code, 1000);
        assert_eq!(fleet.runs(&key).await, 1);
    });
}

#[test]
fn dead_service_is_passed_over() {
    run(async {
        let mut fleet = Fleet::start(Plan::default()).await;
        fleet.services[0].kill().await;
        for at in 0..3 {
            let key = key(&fleet, at).await;
            assert_eq!(fleet.book(at, &key).await.unwrap().code, 1000);
            assert_eq!(fleet.runs_at(1, &key).await, 1);
        }
    });
}

#[test]
fn hanging_service_is_answered_at_the_deadline_and_waited_for() {
    run(async {
        let fleet = Fleet::start(Plan::default()).await;
        let key = key(&fleet, 0).await;
        fail_next(&fleet, Fault::Hang).await;
        assert_eq!(fleet.book(0, &key).await.unwrap().code, 4003);
        resend(&fleet, &key, None, 4000).await;
        assert_eq!(fleet.runs(&key).await, 1);
    });
}

#[test]
fn slow_service_answers_after_the_deadline_to_a_resend() {
    run(async {
        let fleet = Fleet::start(Plan::default()).await;
        let key = key(&fleet, 0).await;
        fleet.control_services(&Control { work_ms: Some(2_200), ..Control::default() }).await;
        assert_eq!(fleet.book(0, &key).await.unwrap().code, 4003);
        loop {
            let answer = fleet.book(1, &key).await.unwrap();
            if answer.code != 4000 {
                assert_eq!(answer.code, 1001);
                break;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(fleet.runs(&key).await, 1);
    });
}

#[test]
fn slow_run_through_another_router_is_waited_for() {
    run(async {
        let fleet = Fleet::start(Plan::default()).await;
        let key = key(&fleet, 0).await;
        fleet.control_services(&Control { work_ms: Some(1_500), ..Control::default() }).await;
        assert_eq!(fleet.book(1, &key).await.unwrap().code, 1000);
    });
}

#[test]
fn home_killed_before_the_key_is_used() {
    run(async {
        let mut fleet = Fleet::start(Plan::default()).await;
        let key = key(&fleet, 0).await;
        fleet.routers[0].member.kill().await;
        let answer = resend(&fleet, &key, Some(0), 3005).await;
        assert!(answer.json()["key_prefix"].is_string());
        assert_eq!(fleet.runs(&key).await, 0);
    });
}

#[test]
fn home_killed_while_the_run_is_open() {
    run(async {
        let mut fleet = Fleet::start(Plan::default()).await;
        let key = key(&fleet, 0).await;
        fail_next(&fleet, Fault::Hang).await;
        // The caller gives up, the run stays open.
        let _ = timeout(Duration::from_millis(300), fleet.book(0, &key)).await;
        while fleet.runs(&key).await == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        fleet.routers[0].member.kill().await;
        let asked = Instant::now();
        resend(&fleet, &key, Some(0), 4001).await;
        assert!(asked.elapsed() < 2 * AT_ONCE, "unknown must come at once");
        assert_eq!(fleet.runs(&key).await, 1);
    });
}

#[test]
fn home_killed_after_the_run_leaves_the_answer_with_its_witness() {
    run(async {
        let mut fleet = Fleet::start(Plan::default()).await;
        let key = key(&fleet, 0).await;
        let first = fleet.book(0, &key).await.unwrap();
        // The hand-over follows the answer.
        fleet.until(fleet.routers[0].ops, |it| it.handing_over == 0).await;
        fleet.routers[0].member.kill().await;
        let again = resend(&fleet, &key, Some(0), 1001).await;
        assert_eq!(again.body, first.body);
        assert_eq!(fleet.runs(&key).await, 1);
    });
}

#[test]
fn planned_stop_leaves_no_unknown_key() {
    run(async {
        let fleet = Fleet::start(Plan::default()).await;
        let mut keys = Vec::new();
        let prefix = fleet.prefix(0).await;
        fleet.control_services(&Control { work_ms: Some(500), ..Control::default() }).await;
        for n in 0..10 {
            keys.push(format!("{prefix}.{n}"));
        }
        let mut runs = tokio::task::JoinSet::new();
        for key in keys.clone() {
            let (pool, addr) =
                (mimosaledge_net::pool::Pool::new(AT_ONCE), fleet.routers[0].member.addr);
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
        fleet.until(fleet.routers[0].ops, |it| it.open == 10).await;
        fleet.routers[0].stop.begin();
        while let Some(code) = runs.join_next().await {
            assert_eq!(code.unwrap(), 1000);
        }
        while support::status(fleet.routers[0].ops).await.is_some() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        for key in keys {
            resend(&fleet, &key, Some(0), 1001).await;
            assert_eq!(fleet.runs(&key).await, 1);
        }
    });
}

#[test]
fn router_that_hands_its_keys_over_starts_nothing_more() {
    run(async {
        let mut fleet = Fleet::start(Plan { routers: 2, ..Plan::default() }).await;
        let key = key(&fleet, 0).await;
        fleet.control_services(&Control { work_ms: Some(400), ..Control::default() }).await;
        let (home, ops) = (fleet.routers[0].member.addr, fleet.routers[0].ops);
        let open = tokio::task::spawn_local(async move {
            let pool = mimosaledge_net::pool::Pool::new(AT_ONCE);
            let headers = [
                ("x-workspace", "w1"),
                ("x-class", "booking"),
                ("x-request-id", "book"),
                ("idempotency-key", key.as_str()),
            ];
            support::send(&pool, home, &headers, "{}").await.unwrap().code
        });
        fleet.until(ops, |it| it.open == 1).await;
        // A hand-over to a dead witness takes its time.
        fleet.routers[1].member.kill().await;
        fleet.routers[0].stop.begin();
        fleet.until(ops, |it| it.state == "handing_over").await;
        let late = fleet.chat(0, "late", 1).await.unwrap();
        assert_eq!(late.code, 3001, "{late:?}");
        assert_eq!(open.await.unwrap(), 1000);
    });
}

#[test]
fn dead_witness_gives_a_new_prefix_that_works() {
    run(async {
        let mut fleet = Fleet::start(Plan { routers: 2, ..Plan::default() }).await;
        let key = key(&fleet, 0).await;
        fleet.routers[1].member.kill().await;
        let refused = fleet.book(0, &key).await.unwrap();
        assert_eq!(refused.code, 3007);
        assert_eq!(fleet.runs(&key).await, 0);
        // Once the witness counts as dead, the lone router works without one.
        loop {
            let prefix = fleet.prefix(0).await;
            let answer = fleet.book(0, &format!("{prefix}.mine")).await.unwrap();
            if answer.code == 1000 {
                break;
            }
            assert_eq!(answer.code, 3007);
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    });
}

#[test]
fn bookings_work_while_the_platform_is_away() {
    run(async {
        let fleet = Fleet::start(Plan::default()).await;
        let away = Some(Mode::Hang);
        let control = PlatformControl { log: away, list: away, ..PlatformControl::default() };
        fleet.control_platform(&control).await;
        for at in 0..3 {
            let key = key(&fleet, at).await;
            assert_eq!(fleet.book(at, &key).await.unwrap().code, 1000);
            resend(&fleet, &key, None, 1001).await;
            assert_eq!(fleet.runs(&key).await, 1);
        }
    });
}

#[test]
fn no_outcome_is_unknown_without_a_fault() {
    run(async {
        let fleet = Fleet::start(Plan::default()).await;
        for n in 0..100 {
            let key = key(&fleet, n % 3).await;
            assert_eq!(fleet.book((n + 1) % 3, &key).await.unwrap().code, 1000);
            assert_eq!(fleet.runs(&key).await, 1);
        }
    });
}
