//! A router that has just started rejects requests until it is ready.

mod support;

use support::{CONFIG, Fleet, FleetOptions, get_status, run};

/// Starts a configured fleet without endpoints.
async fn start_fleet_without_endpoints() -> Fleet {
    let options = FleetOptions { routers: 2, engines: 0, services: 0, ..FleetOptions::default() };
    let fleet = Fleet::start_unconfigured(options).await;
    fleet.publish(CONFIG).await;
    for router in &fleet.routers {
        fleet.wait_until(router.ops, |it| it.in_force.is_some() && it.routers == 2).await;
    }
    fleet
}

#[test]
fn locate_fails_until_an_endpoint_is_live() {
    run(async {
        let fleet = start_fleet_without_endpoints().await;
        for router in &fleet.routers {
            assert_eq!(get_status(router.process.addr, "/locate?workspace=w1&chat=c").await, 503);
        }
        assert_eq!(fleet.send_chat(0, "c", 1).await.unwrap().code, 3009);
    });
}

#[test]
fn starting_router_reports_the_key_state_as_unknown() {
    run(async {
        let fleet = start_fleet_without_endpoints().await;
        let response = fleet.send_booking(0, "1-1-1-1.mine").await.unwrap();
        assert_eq!(response.code, 4005, "{response:?}");
        assert_eq!(response.json()["outcome"], "unknown");
    });
}

#[test]
fn router_serves_once_peers_and_endpoints_are_known() {
    run(async {
        let mut fleet = start_fleet_without_endpoints().await;
        fleet.add_engine().await;
        fleet.wait_until_ready().await;
        assert_eq!(
            get_status(fleet.routers[0].process.addr, "/locate?workspace=w1&chat=c").await,
            200
        );
        assert_eq!(fleet.send_chat(0, "c", 1).await.unwrap().code, 1000);
    });
}
