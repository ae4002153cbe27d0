//! Streamed answers arrive whole, in order, once, and at the right caller.

mod support;

use mimosaledge_standin::engine::{Control, Fault};
use support::{Fleet, Plan, chat_body, is_whole, run};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    time::Duration,
};

/// Makes all engines but the last treat their next requests with `faults`.
async fn fail_next(fleet: &Fleet, faults: &[Fault]) {
    for at in 0..fleet.engines.len() - 1 {
        let control = Control { next: faults.to_vec(), ..Control::default() };
        fleet.control_engine(at, &control).await;
    }
}

/// Streams through engines of which all but one have `fault` once.
fn stream_with(fault: Fault) {
    run(async {
        let fleet = Fleet::start(Plan::default()).await;
        fail_next(&fleet, &[fault]).await;
        for n in 0..6 {
            let answer = fleet.chat(n % 3, &format!("c{n}"), 8).await.unwrap();
            assert!(is_whole(&answer, 8), "{answer:?}");
        }
    });
}

macro_rules! survives {
    ($($name:ident: $fault:ident;)*) => {$(
        #[test]
        fn $name() {
            stream_with(Fault::$fault);
        }
    )*};
}

survives! {
    no_fault: None;
    engine_that_never_answers: Mute;
    stream_that_falls_silent: Silent;
    stream_that_breaks_off: Truncate;
    pieces_of_another_answer: Cross;
    repeated_piece: Duplicate;
    engine_that_refuses: Refuse;
}

#[test]
fn stream_that_keeps_breaking_ends_with_a_code() {
    run(async {
        let fleet = Fleet::start(Plan { engines: 1, ..Plan::default() }).await;
        let control = Control { next: vec![Fault::Truncate; 10], ..Control::default() };
        fleet.control_engine(0, &control).await;
        let answer = fleet.chat(0, "c", 8).await.unwrap();
        let last = answer.body.lines().last().unwrap();
        assert!(last.contains("\"code\":4002"), "{last}");
        assert!(last.contains("retry_after_ms"), "{last}");
    });
}

#[test]
fn request_that_may_have_run_is_not_called_not_run() {
    run(async {
        let fleet = Fleet::start(Plan { engines: 1, ..Plan::default() }).await;
        let control = Control { next: vec![Fault::Mute], ..Control::default() };
        fleet.control_engine(0, &control).await;
        let answer = fleet.chat(0, "c", 8).await.unwrap();
        assert_eq!(answer.code, 4002, "{answer:?}");
    });
}

#[test]
fn crossed_pieces_never_reach_the_caller() {
    run(async {
        let fleet = Fleet::start(Plan::default()).await;
        fail_next(&fleet, &[Fault::Cross; 10]).await;
        let answer = fleet.chat(0, "c", 8).await.unwrap();
        assert!(!answer.body.contains("another-request"), "{answer:?}");
    });
}

#[test]
fn many_chats_at_once_get_their_own_answers() {
    run(async {
        let fleet = Fleet::start(Plan::default()).await;
        let names: Vec<String> = (0..40).map(|n| format!("c{n}")).collect();
        let fleet = &fleet;
        let answers = names.iter().enumerate().map(|(n, name)| fleet.chat(n % 3, name, 20));
        let answers: Vec<_> = support::join_all(answers).await;
        for answer in answers {
            let answer = answer.unwrap();
            assert!(is_whole(&answer, 20), "{answer:?}");
        }
    });
}

#[test]
fn caller_that_stops_reading_gives_its_engine_back() {
    run(async {
        let fleet = Fleet::start(Plan { limits: ", caller_ms: 200", ..Plan::default() }).await;
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(1_024).unwrap();
        let mut stream = socket.connect(fleet.routers[0].member.addr).await.unwrap();
        send_chat(&mut stream, 200_000).await;
        fleet.until(fleet.routers[0].ops, |it| it.open == 1).await;
        // The stream stays open but unread.
        fleet.until(fleet.routers[0].ops, |it| it.open == 0).await;
        drop(stream);
    });
}

#[test]
fn caller_that_leaves_gives_its_engine_back() {
    run(async {
        let fleet = Fleet::start(Plan::default()).await;
        let mut stream = TcpStream::connect(fleet.routers[0].member.addr).await.unwrap();
        send_chat(&mut stream, 5_000).await;
        let mut some = [0; 100];
        stream.read_exact(&mut some).await.unwrap();
        drop(stream);
        fleet.until(fleet.routers[0].ops, |it| it.open == 0).await;
        fleet
            .until(fleet.routers[0].ops, |it| it.endpoints.iter().all(|it| it.reported == 0))
            .await;
    });
}

async fn send_chat(stream: &mut TcpStream, output: u32) {
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
fn platform_away_does_not_touch_the_request_path() {
    use mimosaledge_standin::platform::{Control, Mode};
    run(async {
        let fleet = Fleet::start(Plan::default()).await;
        let away = Some(Mode::Down);
        fleet.control_platform(&Control { log: away, list: away, ..Control::default() }).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        for n in 0..6 {
            assert!(is_whole(&fleet.chat(n % 3, &format!("c{n}"), 8).await.unwrap(), 8));
        }
    });
}
