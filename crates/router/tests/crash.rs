//! Requests that crash engines are stopped after two.

mod support;

use mimosaledge_standin::engine::Control;
use support::{Answer, Fleet, Plan, is_whole, run};

const MARKER: &str = "4242424242";

/// Starts a fleet whose engines crash on [`MARKER`].
async fn fragile_fleet() -> Fleet {
    let fleet = Fleet::start(Plan { engines: 5, ..Plan::default() }).await;
    let control = Control { crash_on: Some(MARKER.to_owned()), ..Control::default() };
    for at in 0..fleet.engines.len() {
        fleet.control_engine(at, &control).await;
    }
    fleet
}

/// Sends the request that crashes engines.
async fn send_poison(fleet: &Fleet, at: usize) -> Answer {
    let headers = [("x-workspace", "w1"), ("x-class", "chat"), ("x-chat", "poison")];
    let body = format!("{{\"model\":\"m\",\"segments\":[[{MARKER},20]],\"output\":3}}");
    fleet.send(at, &headers, body).await.unwrap()
}

fn dead(fleet: &Fleet) -> usize {
    fleet.engines.iter().filter(|it| it.is_finished()).count()
}

#[test]
fn resent_through_every_router_it_costs_two_engines_at_most() {
    run(async {
        let fleet = fragile_fleet().await;
        let mut last = None;
        for n in 0..12 {
            last = Some(send_poison(&fleet, n % 3).await);
        }
        assert!(dead(&fleet) <= 2, "{} engines died", dead(&fleet));
        let last = last.unwrap();
        assert_eq!(last.code, 3004, "{last:?}");
        assert!(last.json()["retry_after_ms"].as_u64().unwrap() > 0);
    });
}

#[test]
fn sent_at_once_through_every_router_it_costs_two_engines_at_most() {
    run(async {
        let fleet = fragile_fleet().await;
        let (a, b, c) =
            tokio::join!(send_poison(&fleet, 0), send_poison(&fleet, 1), send_poison(&fleet, 2));
        assert!(dead(&fleet) <= 2, "{} engines died", dead(&fleet));
        for answer in [a, b, c] {
            assert!([3004, 4002].contains(&answer.code), "{answer:?}");
        }
    });
}

#[test]
fn innocent_requests_survive_beside_it() {
    run(async {
        let fleet = fragile_fleet().await;
        let names: Vec<String> = (0..30).map(|n| format!("innocent-{n}")).collect();
        let innocent = names.iter().enumerate().map(|(n, name)| fleet.chat(n % 3, name, 60));
        let poison = async {
            fleet.until(fleet.routers[0].ops, |it| it.open >= 5).await;
            for n in 0..4 {
                send_poison(&fleet, n % 3).await;
            }
        };
        let (answers, ()) = tokio::join!(support::join_all(innocent), poison);
        for answer in answers {
            let answer = answer.unwrap();
            assert!(is_whole(&answer, 60), "{answer:?}");
        }
        assert!(dead(&fleet) <= 2, "{} engines died", dead(&fleet));
        // Nor are they refused when their callers come back.
        for (n, name) in names.iter().enumerate() {
            assert!(is_whole(&fleet.chat(n % 3, name, 5).await.unwrap(), 5));
        }
    });
}
