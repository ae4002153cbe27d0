//! A router that has just started takes no work before it knows enough.

mod support;

use support::{CONFIG, Fleet, Plan, get_status, run};

/// A configured fleet that knows no endpoint.
async fn fleet_without_endpoints() -> Fleet {
    let plan = Plan { routers: 2, engines: 0, services: 0, ..Plan::default() };
    let fleet = Fleet::start_unconfigured(plan).await;
    fleet.publish(CONFIG).await;
    for router in &fleet.routers {
        fleet.until(router.ops, |it| it.in_force.is_some() && it.routers == 2).await;
    }
    fleet
}

#[test]
fn it_is_not_located_before_it_knows_a_live_endpoint() {
    run(async {
        let fleet = fleet_without_endpoints().await;
        for router in &fleet.routers {
            assert_eq!(get_status(router.member.addr, "/locate?workspace=w1&chat=c").await, 503);
        }
        assert_eq!(fleet.chat(0, "c", 1).await.unwrap().code, 3009);
    });
}

#[test]
fn it_does_not_judge_a_key() {
    run(async {
        let fleet = fleet_without_endpoints().await;
        let answer = fleet.book(0, "1-1-1-1.mine").await.unwrap();
        assert_eq!(answer.code, 4005, "{answer:?}");
        assert_eq!(answer.json()["outcome"], "unknown");
    });
}

#[test]
fn it_serves_once_it_knows_peers_and_endpoints() {
    run(async {
        let mut fleet = fleet_without_endpoints().await;
        fleet.add_engine().await;
        fleet.settled().await;
        assert_eq!(
            get_status(fleet.routers[0].member.addr, "/locate?workspace=w1&chat=c").await,
            200
        );
        assert_eq!(fleet.chat(0, "c", 1).await.unwrap().code, 1000);
    });
}
