//! Endpoints that shut down receive no new requests, and the graceful shutdown of
//! a router fails no request.

mod support;

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use mimosaledge_net::{http::Call, pool::Pool};
use mimosaledge_standin::engine::{Control, Statistics};
use support::{Fleet, FleetOptions, Response, Router, chat_body, get, is_complete, run, status};
use tokio::task::JoinSet;

/// Sends a leave notice for engine `index` to router 0 only.
async fn send_leave_notice(fleet: &Fleet, index: usize) {
    let path = format!("/leave?endpoint={}", fleet.engines[index].name);
    Call::post(fleet.routers[0].ops, path, "").send_ok().await.unwrap();
}

/// Waits until every router knows that engine `index` is leaving.
async fn wait_until_notice_is_known(fleet: &Fleet, index: usize) {
    let name = fleet.engines[index].name.as_str();
    for router in &fleet.routers {
        let is_leaving = |it: &mimosaledge_router::ops::Status| {
            it.endpoints.iter().any(|it| &*it.name == name && it.health == "leaving")
        };
        fleet.wait_until(router.ops, is_leaving).await;
    }
}

/// Returns the number of requests that engine `index` has finished.
async fn finished_count(fleet: &Fleet, index: usize) -> u64 {
    let statistics: Statistics = get(fleet.engines[index].addr, "/statistics").await;
    statistics.finished
}

#[test]
fn leave_notice_to_one_router_stops_new_requests_from_all() {
    run(async {
        let fleet = Fleet::start(FleetOptions::default()).await;
        send_leave_notice(&fleet, 1).await;
        wait_until_notice_is_known(&fleet, 1).await;
        let before = finished_count(&fleet, 1).await;
        for n in 0..30 {
            assert!(is_complete(&fleet.send_chat(n % 3, &format!("c{n}"), 2).await.unwrap(), 2));
        }
        assert_eq!(finished_count(&fleet, 1).await, before);
    });
}

#[test]
fn engine_that_reports_leaving_finishes_open_requests() {
    run(async {
        let fleet = Fleet::start(FleetOptions { engines: 1, ..FleetOptions::default() }).await;
        let slow = Control { step_ms: Some(20), ..Control::default() };
        fleet.control_engine(0, &slow).await;
        let open = async { fleet.send_chat(0, "c", 30).await.unwrap() };
        let notice = async {
            fleet.wait_until(fleet.routers[0].ops, |it| it.open == 1).await;
            let leaving = Control { leaving: Some(true), ..Control::default() };
            fleet.control_engine(0, &leaving).await;
            wait_until_notice_is_known(&fleet, 0).await;
        };
        let (response, ()) = tokio::join!(open, notice);
        assert!(is_complete(&response, 30));
        assert_eq!(fleet.send_chat(1, "c", 1).await.unwrap().code, 3003);
    });
}

#[test]
fn restarted_engine_receives_requests_again() {
    run(async {
        let mut fleet = Fleet::start(FleetOptions { engines: 1, ..FleetOptions::default() }).await;
        send_leave_notice(&fleet, 0).await;
        wait_until_notice_is_known(&fleet, 0).await;
        fleet.engines[0].kill().await;
        fleet.restart_engine(0).await;
        fleet.wait_until_ready().await;
        assert!(is_complete(&fleet.send_chat(2, "c", 3).await.unwrap(), 3));
    });
}

/// Number of responses that the clients must receive for each restarted router.
const RESPONSES_PER_ROUTER: u32 = 40;

/// State that the clients of a test share.
struct ClientState {
    routers: Vec<SocketAddr>,
    completed: Cell<u32>,
    stop: Cell<bool>,
}

/// Sends requests to located routers until `stop` is set.
async fn run_client(state: Rc<ClientState>, name: usize) {
    let pool = Pool::new(Duration::from_secs(5));
    while !state.stop.get() {
        let chat = format!("caller-{name}-{}", state.completed.get());
        let response = send_to_located_router(&pool, &state.routers, &chat).await;
        assert!(is_complete(&response, 10), "{response:?}");
        state.completed.set(state.completed.get() + 1);
    }
}

/// Locates a router through the first one that responds, and sends it a chat
/// request.
async fn send_to_located_router(pool: &Pool, routers: &[SocketAddr], chat: &str) -> Response {
    for router in routers {
        let call = Call::get(*router, format!("/locate?workspace=w1&chat={chat}"));
        let Ok(body) = call.send_ok().await else { continue };
        let located: serde_json::Value = serde_json::from_slice(&body).unwrap();
        let addr = located["routers"][0].as_str().unwrap().parse().unwrap();
        let headers = [("x-workspace", "w1"), ("x-class", "chat"), ("x-chat", chat)];
        // A refused connection or a truncated response counts as a failed request.
        return support::send(pool, addr, &headers, chat_body(chat, 10)).await.unwrap();
    }
    panic!("no router responded");
}

#[test]
fn rolling_restart_under_load_fails_no_request() {
    run(async {
        let mut fleet = Fleet::start(FleetOptions { routers: 4, ..FleetOptions::default() }).await;
        let state = Rc::new(ClientState {
            routers: fleet.routers.iter().map(|it| it.process.addr).collect(),
            completed: Cell::new(0),
            stop: Cell::new(false),
        });
        let mut clients = JoinSet::new();
        for name in 0..8 {
            clients.spawn_local(run_client(Rc::clone(&state), name));
        }
        // The last router is not restarted, so that `/locate` always has an address
        // that responds.
        for index in 0..3 {
            let before = state.completed.get();
            fleet.routers[index].stop.begin();
            while status(fleet.routers[index].ops).await.is_some() {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            let settings = fleet.routers[index].settings.clone();
            fleet.start_router(settings).await;
            let started: &Router = fleet.routers.last().unwrap();
            fleet.wait_until(started.ops, |it| it.state == "serving").await;
            while state.completed.get() < before + RESPONSES_PER_ROUTER {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
        state.stop.set(true);
        while let Some(ended) = clients.join_next().await {
            ended.unwrap();
        }
    });
}

#[test]
fn locate_omits_a_draining_router() {
    run(async {
        let fleet =
            Fleet::start(FleetOptions { limits: ", drain_ms: 5000", ..FleetOptions::default() })
                .await;
        fleet.routers[0].stop.begin();
        let draining = fleet.routers[0].process.addr.to_string();
        for index in 0..3 {
            for n in 0..10 {
                let path = format!("/locate?workspace=w1&chat=c{n}&data_centre=centre-a");
                let located: serde_json::Value =
                    get(fleet.routers[index].process.addr, &path).await;
                let routers = located["routers"].as_array().unwrap();
                if index == 0 {
                    assert!(routers.iter().all(|it| *it != draining), "{located}");
                }
            }
        }
    });
}
