//! Streamed responses are complete and in order, without duplicates, and reach
//! the client that sent the request, also if engines fail.

mod support;

use mimosaledge_standin::engine::{Control, Fault};
use support::{Fleet, FleetOptions, chat_body, is_complete, run};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    time::Duration,
};

/// Injects `faults` into the next requests of all engines but the last.
async fn inject_faults(fleet: &Fleet, faults: &[Fault]) {
    for index in 0..fleet.engines.len() - 1 {
        let control = Control { next: faults.to_vec(), ..Control::default() };
        fleet.control_engine(index, &control).await;
    }
}

/// Checks streams while all engines but one fail once with `fault`.
fn check_streams_with_fault(fault: Fault) {
    run(async {
        let fleet = Fleet::start(FleetOptions::default()).await;
        inject_faults(&fleet, &[fault]).await;
        for n in 0..6 {
            let response = fleet.send_chat(n % 3, &format!("c{n}"), 8).await.unwrap();
            assert!(is_complete(&response, 8), "{response:?}");
        }
    });
}

macro_rules! survives {
    ($($name:ident: $fault:ident;)*) => {$(
        #[test]
        fn $name() {
            check_streams_with_fault(Fault::$fault);
        }
    )*};
}

survives! {
    no_fault: None;
    engine_never_responds: Mute;
    stream_stalls: Silent;
    connection_closes_mid_stream: Truncate;
    tokens_of_another_response: Cross;
    duplicate_token: Duplicate;
    engine_refuses: Refuse;
}

#[test]
fn stream_that_keeps_failing_ends_with_an_error_code() {
    run(async {
        let fleet = Fleet::start(FleetOptions { engines: 1, ..FleetOptions::default() }).await;
        let control = Control { next: vec![Fault::Truncate; 10], ..Control::default() };
        fleet.control_engine(0, &control).await;
        let response = fleet.send_chat(0, "c", 8).await.unwrap();
        let last = response.body.lines().last().unwrap();
        assert!(last.contains("\"code\":4002"), "{last}");
        assert!(last.contains("retry_after_ms"), "{last}");
    });
}

#[test]
fn request_that_may_have_run_is_not_reported_as_not_run() {
    run(async {
        let fleet = Fleet::start(FleetOptions { engines: 1, ..FleetOptions::default() }).await;
        let control = Control { next: vec![Fault::Mute], ..Control::default() };
        fleet.control_engine(0, &control).await;
        let response = fleet.send_chat(0, "c", 8).await.unwrap();
        assert_eq!(response.code, 4002, "{response:?}");
    });
}

#[test]
fn tokens_of_another_request_never_reach_the_client() {
    run(async {
        let fleet = Fleet::start(FleetOptions::default()).await;
        inject_faults(&fleet, &[Fault::Cross; 10]).await;
        let response = fleet.send_chat(0, "c", 8).await.unwrap();
        assert!(!response.body.contains("another-request"), "{response:?}");
    });
}

#[test]
fn concurrent_chats_receive_their_own_responses() {
    run(async {
        let fleet = Fleet::start(FleetOptions::default()).await;
        let names: Vec<String> = (0..40).map(|n| format!("c{n}")).collect();
        let fleet = &fleet;
        let responses = names.iter().enumerate().map(|(n, name)| fleet.send_chat(n % 3, name, 20));
        let responses: Vec<_> = support::join_all(responses).await;
        for response in responses {
            let response = response.unwrap();
            assert!(is_complete(&response, 20), "{response:?}");
        }
    });
}

#[test]
fn client_that_stops_reading_releases_its_engine() {
    run(async {
        let fleet =
            Fleet::start(FleetOptions { limits: ", caller_ms: 200", ..FleetOptions::default() })
                .await;
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(1_024).unwrap();
        let mut stream = socket.connect(fleet.routers[0].process.addr).await.unwrap();
        write_chat_request(&mut stream, 200_000).await;
        fleet.wait_until(fleet.routers[0].ops, |it| it.open == 1).await;
        // The client keeps the connection open without reading from it.
        fleet.wait_until(fleet.routers[0].ops, |it| it.open == 0).await;
        drop(stream);
    });
}

#[test]
fn client_that_disconnects_releases_its_engine() {
    run(async {
        let fleet = Fleet::start(FleetOptions::default()).await;
        let mut stream = TcpStream::connect(fleet.routers[0].process.addr).await.unwrap();
        write_chat_request(&mut stream, 5_000).await;
        let mut buffer = [0; 100];
        stream.read_exact(&mut buffer).await.unwrap();
        drop(stream);
        fleet.wait_until(fleet.routers[0].ops, |it| it.open == 0).await;
        fleet
            .wait_until(fleet.routers[0].ops, |it| it.endpoints.iter().all(|it| it.reported == 0))
            .await;
    });
}

async fn write_chat_request(stream: &mut TcpStream, output: u32) {
    let body = chat_body("c", output);
    let head = format!(
        "POST /v1/run HTTP/1.1\r\nhost: router\r\nx-workspace: w1\r\nx-class: chat\r\n\
         content-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(body.as_bytes()).await.unwrap();
}

#[test]
fn platform_outage_does_not_affect_requests() {
    use mimosaledge_standin::platform::{Control, Mode};
    run(async {
        let fleet = Fleet::start(FleetOptions::default()).await;
        let down = Some(Mode::Down);
        fleet.control_platform(&Control { log: down, list: down, ..Control::default() }).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        for n in 0..6 {
            assert!(is_complete(&fleet.send_chat(n % 3, &format!("c{n}"), 8).await.unwrap(), 8));
        }
    });
}
