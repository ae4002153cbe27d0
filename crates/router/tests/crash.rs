//! A request that crashes engines is quarantined after two crashes, and requests
//! in flight at the crashes are not.

mod support;

use mimosaledge_standin::engine::Control;
use support::{Fleet, FleetOptions, Response, is_complete, run};

/// Token that makes the simulated engines crash.
const MARKER: &str = "4242424242";

/// Starts a fleet whose engines crash on a prompt that contains [`MARKER`].
async fn start_crashing_fleet() -> Fleet {
    let fleet = Fleet::start(FleetOptions { engines: 5, ..FleetOptions::default() }).await;
    let control = Control { crash_on: Some(MARKER.to_owned()), ..Control::default() };
    for index in 0..fleet.engines.len() {
        fleet.control_engine(index, &control).await;
    }
    fleet
}

/// Sends the request that crashes engines through router `index`.
async fn send_poison_request(fleet: &Fleet, index: usize) -> Response {
    let headers = [("x-workspace", "w1"), ("x-class", "chat"), ("x-chat", "poison")];
    let body = format!("{{\"model\":\"m\",\"segments\":[[{MARKER},20]],\"output\":3}}");
    fleet.send(index, &headers, body).await.unwrap()
}

fn crashed_engines(fleet: &Fleet) -> usize {
    fleet.engines.iter().filter(|it| it.is_finished()).count()
}

#[test]
fn resent_poison_request_crashes_at_most_two_engines() {
    run(async {
        let fleet = start_crashing_fleet().await;
        let mut last = None;
        for n in 0..12 {
            last = Some(send_poison_request(&fleet, n % 3).await);
        }
        assert!(crashed_engines(&fleet) <= 2, "{} engines crashed", crashed_engines(&fleet));
        let last = last.unwrap();
        assert_eq!(last.code, 3004, "{last:?}");
        assert!(last.json()["retry_after_ms"].as_u64().unwrap() > 0);
    });
}

#[test]
fn concurrent_poison_requests_crash_at_most_two_engines() {
    run(async {
        let fleet = start_crashing_fleet().await;
        let (a, b, c) = tokio::join!(
            send_poison_request(&fleet, 0),
            send_poison_request(&fleet, 1),
            send_poison_request(&fleet, 2)
        );
        assert!(crashed_engines(&fleet) <= 2, "{} engines crashed", crashed_engines(&fleet));
        for response in [a, b, c] {
            assert!([3004, 4002].contains(&response.code), "{response:?}");
        }
    });
}

#[test]
fn unrelated_requests_survive_a_poison_request() {
    run(async {
        let fleet = start_crashing_fleet().await;
        let names: Vec<String> = (0..30).map(|n| format!("innocent-{n}")).collect();
        let requests = names.iter().enumerate().map(|(n, name)| fleet.send_chat(n % 3, name, 60));
        let poison = async {
            fleet.wait_until(fleet.routers[0].ops, |it| it.open >= 5).await;
            for n in 0..4 {
                send_poison_request(&fleet, n % 3).await;
            }
        };
        let (responses, ()) = tokio::join!(support::join_all(requests), poison);
        for response in responses {
            let response = response.unwrap();
            assert!(is_complete(&response, 60), "{response:?}");
        }
        assert!(crashed_engines(&fleet) <= 2, "{} engines crashed", crashed_engines(&fleet));
        // The requests were in flight at the crashes, but may run again.
        for (n, name) in names.iter().enumerate() {
            assert!(is_complete(&fleet.send_chat(n % 3, name, 5).await.unwrap(), 5));
        }
    });
}
