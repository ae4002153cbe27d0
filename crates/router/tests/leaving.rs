//! Leaving endpoints get no new work, and planned stops cut nothing.

mod support;

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use mimosaledge_net::{http::Call, pool::Pool};
use mimosaledge_standin::engine::{Control, Statistics};
use support::{Answer, Fleet, Plan, Router, chat_body, get, is_whole, run, status};
use tokio::task::JoinSet;

/// Sends a leave notice for engine `at` to router 0 only.
async fn give_notice(fleet: &Fleet, at: usize) {
    let path = format!("/leave?endpoint={}", fleet.engines[at].name);
    Call::post(fleet.routers[0].ops, path, "").send_ok().await.unwrap();
}

/// Waits until every router knows that engine `at` leaves.
async fn notice_known(fleet: &Fleet, at: usize) {
    let name = fleet.engines[at].name.as_str();
    for router in &fleet.routers {
        let left = |it: &mimosaledge_router::ops::Status| {
            it.endpoints.iter().any(|it| &*it.name == name && it.health == "leaving")
        };
        fleet.until(router.ops, left).await;
    }
}

async fn finished(fleet: &Fleet, at: usize) -> u64 {
    let statistics: Statistics = get(fleet.engines[at].addr, "/statistics").await;
    statistics.finished
}

#[test]
fn notice_to_one_router_stops_new_work_from_all() {
    run(async {
        let fleet = Fleet::start(Plan::default()).await;
        give_notice(&fleet, 1).await;
        notice_known(&fleet, 1).await;
        let before = finished(&fleet, 1).await;
        for n in 0..30 {
            assert!(is_whole(&fleet.chat(n % 3, &format!("c{n}"), 2).await.unwrap(), 2));
        }
        assert_eq!(finished(&fleet, 1).await, before);
    });
}

#[test]
fn engine_that_says_itself_that_it_leaves_finishes_what_is_open() {
    run(async {
        let fleet = Fleet::start(Plan { engines: 1, ..Plan::default() }).await;
        let slow = Control { step_ms: Some(20), ..Control::default() };
        fleet.control_engine(0, &slow).await;
        let open = async { fleet.chat(0, "c", 30).await.unwrap() };
        let notice = async {
            fleet.until(fleet.routers[0].ops, |it| it.open == 1).await;
            let leaving = Control { leaving: Some(true), ..Control::default() };
            fleet.control_engine(0, &leaving).await;
            notice_known(&fleet, 0).await;
        };
        let (answer, ()) = tokio::join!(open, notice);
        assert!(is_whole(&answer, 30));
        assert_eq!(fleet.chat(1, "c", 1).await.unwrap().code, 3003);
    });
}

#[test]
fn engine_that_comes_back_as_a_new_process_gets_work_again() {
    run(async {
        let mut fleet = Fleet::start(Plan { engines: 1, ..Plan::default() }).await;
        give_notice(&fleet, 0).await;
        notice_known(&fleet, 0).await;
        fleet.engines[0].kill().await;
        fleet.restart_engine(0).await;
        fleet.settled().await;
        assert!(is_whole(&fleet.chat(2, "c", 3).await.unwrap(), 3));
    });
}

/// Answers that all callers together must get while one router is rolled.
const ANSWERS_A_ROUTER: u32 = 40;

/// What the callers of a test share.
struct Load {
    routers: Vec<SocketAddr>,
    answered: Cell<u32>,
    stop: Cell<bool>,
}

/// A caller that follows the locate protocol until it is told to stop.
async fn call_until_stopped(load: Rc<Load>, name: usize) {
    let pool = Pool::new(Duration::from_secs(5));
    while !load.stop.get() {
        let chat = format!("caller-{name}-{}", load.answered.get());
        let answer = ask_located(&pool, &load.routers, &chat).await;
        assert!(is_whole(&answer, 10), "{answer:?}");
        load.answered.set(load.answered.get() + 1);
    }
}

/// Asks any router that answers which one to use, and uses it at once.
async fn ask_located(pool: &Pool, routers: &[SocketAddr], chat: &str) -> Answer {
    for router in routers {
        let call = Call::get(*router, format!("/locate?workspace=w1&chat={chat}"));
        let Ok(body) = call.send_ok().await else { continue };
        let located: serde_json::Value = serde_json::from_slice(&body).unwrap();
        let addr = located["routers"][0].as_str().unwrap().parse().unwrap();
        let headers = [("x-workspace", "w1"), ("x-class", "chat"), ("x-chat", chat)];
        // A refused connection or a cut answer here is a failed request.
        return support::send(pool, addr, &headers, chat_body(chat, 10)).await.unwrap();
    }
    panic!("no router answered");
}

#[test]
fn rolling_every_router_under_load_cuts_and_refuses_nothing() {
    run(async {
        let mut fleet = Fleet::start(Plan { routers: 4, ..Plan::default() }).await;
        let load = Rc::new(Load {
            routers: fleet.routers.iter().map(|it| it.member.addr).collect(),
            answered: Cell::new(0),
            stop: Cell::new(false),
        });
        let mut callers = JoinSet::new();
        for name in 0..8 {
            callers.spawn_local(call_until_stopped(Rc::clone(&load), name));
        }
        // The last router stays up to the end, so that some address answers.
        for at in 0..3 {
            let before = load.answered.get();
            fleet.routers[at].stop.begin();
            while status(fleet.routers[at].ops).await.is_some() {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            let settings = fleet.routers[at].settings.clone();
            fleet.start_router(settings).await;
            let started: &Router = fleet.routers.last().unwrap();
            fleet.until(started.ops, |it| it.state == "serving").await;
            while load.answered.get() < before + ANSWERS_A_ROUTER {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
        load.stop.set(true);
        while let Some(ended) = callers.join_next().await {
            ended.unwrap();
        }
    });
}

#[test]
fn draining_router_is_not_located() {
    run(async {
        let fleet = Fleet::start(Plan { limits: ", drain_ms: 5000", ..Plan::default() }).await;
        fleet.routers[0].stop.begin();
        let gone = fleet.routers[0].member.addr.to_string();
        for at in 0..3 {
            for n in 0..10 {
                let path = format!("/locate?workspace=w1&chat=c{n}&data_centre=centre-a");
                let located: serde_json::Value = get(fleet.routers[at].member.addr, &path).await;
                let routers = located["routers"].as_array().unwrap();
                if at == 0 {
                    assert!(routers.iter().all(|it| *it != gone), "{located}");
                }
            }
        }
    });
}
