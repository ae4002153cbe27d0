//! Endpoints that are silent for longer than `progress_ms` and then go on complete
//! their responses if no other endpoint can take over.

mod support;

use mimosaledge_standin::{
    engine::{Control, Fault, Statistics},
    service,
};
use support::{Fleet, FleetOptions, get, is_complete, run};

/// Time for which an endpoint is silent; `progress_ms` is 500.
const SILENCE_MS: u64 = 1_000;
/// Number of prompt tokens of a chat request.
const PROMPT_TOKENS: u64 = 20;

/// Starts a fleet with one router.
async fn start_fleet(engines: usize, services: usize) -> Fleet {
    Fleet::start(FleetOptions { routers: 1, engines, services, ..FleetOptions::default() }).await
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

/// Sends an idempotent request to services that take `SILENCE_MS` for it.
async fn send_to_slow_services(fleet: &Fleet) {
    let slow = service::Control { work_ms: Some(SILENCE_MS), ..service::Control::default() };
    fleet.control_services(&slow).await;
    let headers = [("x-workspace", "w1"), ("x-class", "history"), ("x-request-id", "h")];
    let response = fleet.send(0, &headers, "{}").await.unwrap();
    assert_eq!(response.status, 200, "{response:?}");
    assert!(response.json()["confirmed"].as_str().unwrap().ends_with(".h"), "{response:?}");
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
