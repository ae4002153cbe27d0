//! Endpoints that are silent for longer than `progress_ms` and then go on complete
//! their responses if no other endpoint can take over.

mod support;

use std::{net::SocketAddr, rc::Rc, time::Duration};

use mimosaledge_core::hash::hash32;
use mimosaledge_net::{http::Call, pool::Pool};
use mimosaledge_router::ops::Status;
use mimosaledge_standin::{
    engine::{Control, Fault, Statistics},
    service,
};
use support::{CONFIG, Fleet, FleetOptions, chat_body, get, is_complete, join_all, run};
use tokio::{
    io::{AsyncWriteExt, copy},
    net::{TcpListener, TcpStream},
    sync::Notify,
    task::spawn_local,
};

/// Time for which an endpoint is silent; `progress_ms` is 500.
const SILENCE_MS: u64 = 1_000;
/// Number of retries in the budget of a workspace whose requests add none.
const INITIAL_RETRIES: u64 = 3;
/// Number of prompt tokens of a chat request.
const PROMPT_TOKENS: u64 = 20;

/// Starts a fleet with one router.
async fn start_fleet(engines: usize, services: usize) -> Fleet {
    Fleet::start(FleetOptions { routers: 1, engines, services, ..FleetOptions::default() }).await
}

/// Starts a fleet with one router and two engines, without services, in which `from`
/// of the configuration is replaced with `to`.
async fn start_fleet_with(from: &str, to: &str) -> Fleet {
    let options = FleetOptions { routers: 1, engines: 2, services: 0, ..FleetOptions::default() };
    let fleet = Fleet::start_unconfigured(options).await;
    let config = CONFIG.replace(from, to);
    assert_ne!(config, CONFIG);
    fleet.publish(&config).await;
    fleet.wait_until_ready().await;
    fleet
}

/// Returns the number of requests that router 0 has sent again.
async fn retry_count(fleet: &Fleet) -> u64 {
    let metrics = Call::get(fleet.routers[0].ops, "/metrics").send_ok().await.unwrap();
    let metrics = String::from_utf8(metrics.to_vec()).unwrap();
    let line = metrics.lines().find_map(|it| it.strip_prefix("mimosaledge_retries_total "));
    line.unwrap().parse().unwrap()
}

/// Applies `control` to all engines.
async fn control_engines(fleet: &Fleet, control: &Control) {
    for index in 0..fleet.engines.len() {
        fleet.control_engine(index, control).await;
    }
}

/// Returns the totals of engine `index`.
async fn statistics(fleet: &Fleet, index: usize) -> Statistics {
    get(fleet.engines[index].addr, "/statistics").await
}

fn silent_stream() -> Control {
    Control { step_ms: Some(SILENCE_MS), ..Control::default() }
}

fn late_head() -> Control {
    Control { head_ms: Some(SILENCE_MS), ..Control::default() }
}

#[test]
fn silent_engine_without_another_completes_its_stream() {
    run(async {
        let fleet = start_fleet(1, 0).await;
        control_engines(&fleet, &silent_stream()).await;
        let response = fleet.send_chat(0, "c", 2).await.unwrap();
        assert!(is_complete(&response, 2), "{response:?}");
        assert_eq!(statistics(&fleet, 0).await.prompt_tokens, PROMPT_TOKENS);
    });
}

#[test]
fn silent_engine_completes_its_stream_if_the_other_refuses() {
    run(async {
        let fleet = start_fleet(2, 0).await;
        fleet.control_engine(0, &silent_stream()).await;
        let refusing = Control { next: vec![Fault::Refuse; 20], ..Control::default() };
        fleet.control_engine(1, &refusing).await;
        let response = fleet.send_chat(0, "c", 2).await.unwrap();
        assert!(is_complete(&response, 2), "{response:?}");
        assert_eq!(statistics(&fleet, 0).await.prompt_tokens, PROMPT_TOKENS);
    });
}

#[test]
fn silent_engine_of_the_last_resume_completes_its_stream() {
    run(async {
        let fleet = start_fleet(2, 0).await;
        control_engines(&fleet, &silent_stream()).await;
        let response = fleet.send_chat(0, "c", 2).await.unwrap();
        assert!(is_complete(&response, 2), "{response:?}");
    });
}

#[test]
fn late_head_without_another_engine_is_delivered() {
    run(async {
        let fleet = start_fleet(1, 0).await;
        control_engines(&fleet, &late_head()).await;
        let response = fleet.send_chat(0, "c", 2).await.unwrap();
        assert!(is_complete(&response, 2), "{response:?}");
        assert_eq!(statistics(&fleet, 0).await.prompt_tokens, PROMPT_TOKENS);
    });
}

#[test]
fn late_head_is_delivered_if_the_other_engine_never_responds() {
    run(async {
        let fleet = start_fleet(2, 0).await;
        fleet.control_engine(0, &late_head()).await;
        let mute = Control { next: vec![Fault::Mute; 20], ..Control::default() };
        fleet.control_engine(1, &mute).await;
        let response = fleet.send_chat(0, "c", 2).await.unwrap();
        assert!(is_complete(&response, 2), "{response:?}");
    });
}

#[test]
fn silent_engines_complete_all_streams_beyond_the_retry_budget() {
    run(async {
        let fleet = start_fleet_with("retry_percent: 100", "retry_percent: 0").await;
        control_engines(&fleet, &silent_stream()).await;
        let chats = ["a", "b", "c", "d", "e", "f"];
        let responses = join_all(chats.iter().map(|it| fleet.send_chat(0, it, 2))).await;
        for response in responses {
            let response = response.unwrap();
            assert!(is_complete(&response, 2), "{response:?}");
        }
        assert_eq!(retry_count(&fleet).await, INITIAL_RETRIES);
    });
}

#[test]
fn failed_engine_is_replaced_by_the_attempt_in_progress() {
    run(async {
        let mut fleet = start_fleet(2, 0).await;
        let response = fleet.send_chat(0, "c", 2).await.unwrap();
        let hint = response.header("x-place-hint").unwrap();
        let is_first = |name: &str| hint.starts_with(&format!("{:08x}", hash32(name.as_bytes())));
        let first = fleet.engines.iter().position(|it| is_first(&it.name)).unwrap();
        let silent = Control { next: vec![Fault::Silent], ..Control::default() };
        fleet.control_engine(first, &silent).await;
        fleet.control_engine(1 - first, &late_head()).await;
        let mut failing = fleet.engines.remove(first);
        let other = fleet.engines[0].name.clone();
        let failure = async {
            let is_in_progress =
                |it: &Status| it.endpoints.iter().any(|it| *it.name == other && it.admitted == 1);
            fleet.wait_until(fleet.routers[0].ops, is_in_progress).await;
            failing.kill().await;
        };
        let (response, ()) = tokio::join!(fleet.send_chat(0, "c", 8), failure);
        let response = response.unwrap();
        assert!(is_complete(&response, 8), "{response:?}");
        assert_eq!(retry_count(&fleet).await, 1);
    });
}

/// Forwards connections to `engine`, and keeps them open after the engine has closed
/// them; notifies `accepted` of each.
async fn run_proxy(listener: TcpListener, engine: SocketAddr, accepted: Rc<Notify>) {
    loop {
        let (client, _) = listener.accept().await.unwrap();
        accepted.notify_one();
        spawn_local(async move {
            let Ok(server) = TcpStream::connect(engine).await else { return };
            let (mut client_reader, mut client_writer) = client.into_split();
            let (mut server_reader, mut server_writer) = server.into_split();
            let upload = async {
                let _ = copy(&mut client_reader, &mut server_writer).await;
                let _ = server_writer.shutdown().await;
            };
            let _ = tokio::join!(upload, copy(&mut server_reader, &mut client_writer));
        });
    }
}

#[test]
fn crashed_engine_is_not_awaited_though_its_connection_stays_open() {
    run(async {
        let options =
            FleetOptions { routers: 1, engines: 1, services: 0, ..FleetOptions::default() };
        let mut fleet = Fleet::start_unconfigured(options).await;
        let engine = fleet.engines[0].addr;
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let accepted = Rc::new(Notify::new());
        fleet.engines[0].addr = listener.local_addr().unwrap();
        spawn_local(run_proxy(listener, engine, Rc::clone(&accepted)));
        fleet.update_vm_list().await;
        fleet.engines[0].addr = engine;
        accepted.notified().await;
        fleet.publish(CONFIG).await;
        fleet.wait_until_ready().await;
        fleet.control_engine(0, &Control { step_ms: Some(20), ..Control::default() }).await;
        let router = fleet.routers[0].process.addr;
        let pool = Pool::new(Duration::from_secs(1));
        let headers = [("x-workspace", "w1"), ("x-class", "chat")];
        let ops = fleet.routers[0].ops;
        let restart = async {
            fleet.wait_until(ops, |it| it.endpoints.iter().any(|it| it.reported == 1)).await;
            fleet.engines[0].kill().await;
            fleet.restart_engine(0).await;
        };
        let sent = support::send(&pool, router, &headers, chat_body("c", 300));
        let (response, ()) = tokio::join!(sent, restart);
        let response = response.unwrap();
        // Code 4003 is that of the deadline.
        assert!(!response.body.contains("\"code\":4003"), "{response:?}");
        assert_eq!(retry_count(&fleet).await, 1);
    });
}

/// Sends an idempotent request to services that take `SILENCE_MS` for it.
async fn send_to_slow_services(fleet: &Fleet) {
    let slow = service::Control { work_ms: Some(SILENCE_MS), ..service::Control::default() };
    fleet.control_services(&slow).await;
    send_to_services(fleet).await;
}

/// Sends an idempotent request to services; returns its run identifier.
async fn send_to_services(fleet: &Fleet) -> String {
    let headers = [("x-workspace", "w1"), ("x-class", "history"), ("x-request-id", "h")];
    let response = fleet.send(0, &headers, "{}").await.unwrap();
    assert_eq!(response.status, 200, "{response:?}");
    let run_id = response.json()["confirmed"].as_str().unwrap().to_owned();
    assert!(run_id.ends_with(".h"), "{response:?}");
    run_id
}

#[test]
fn slow_response_without_another_service_is_delivered() {
    run(async {
        let fleet = start_fleet(1, 1).await;
        send_to_slow_services(&fleet).await;
    });
}

#[test]
fn slow_response_of_the_first_of_slow_services_is_delivered() {
    run(async {
        let fleet = start_fleet(1, 2).await;
        send_to_slow_services(&fleet).await;
    });
}

#[test]
fn hanging_service_is_replaced() {
    run(async {
        let fleet = start_fleet(1, 2).await;
        let run_id = send_to_services(&fleet).await;
        let first = 1 - fleet.run_count_at(0, &run_id).await as usize;
        let next = vec![service::Fault::Hang];
        let hanging = service::Control { next, ..service::Control::default() };
        let hanging = serde_json::to_vec(&hanging).unwrap();
        support::post(fleet.services[first].addr, "/control", hanging).await;
        let run_id = send_to_services(&fleet).await;
        assert_eq!(fleet.run_count_at(0, &run_id).await, 1);
        assert_eq!(fleet.run_count_at(1, &run_id).await, 1);
    });
}
