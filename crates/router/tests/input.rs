//! Bad input gets a numbered code, never a hang, a panic or another's answer.

mod support;

use std::time::Duration;

use mimosaledge_net::http::Call;
use support::{Fleet, Plan, chat_body, get, is_whole, run};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpStream, UdpSocket},
};

const CHAT: [(&str, &str); 2] = [("x-workspace", "w1"), ("x-class", "chat")];

/// Sends one request and checks its code.
fn expect(headers: &[(&str, &str)], body: &str, code: u16) {
    run(async {
        let fleet = Fleet::start(Plan { routers: 1, ..Plan::default() }).await;
        let answer = fleet.send(0, headers, body.to_owned()).await.unwrap();
        assert_eq!(answer.code, code, "{answer:?}");
        assert_eq!(answer.json()["code"], code);
    });
}

macro_rules! refused {
    ($($name:ident: $headers:expr, $body:expr => $code:expr;)*) => {$(
        #[test]
        fn $name() {
            expect(&$headers, $body, $code);
        }
    )*};
}

refused! {
    missing_workspace: [("x-class", "chat")], "{}" => 2002;
    unknown_workspace: [("x-workspace", "nobody"), ("x-class", "chat")], "{}" => 2002;
    missing_class: [("x-workspace", "w1")], "{}" => 2003;
    unknown_class: [("x-workspace", "w1"), ("x-class", "nothing")], "{}" => 2003;
    body_that_is_not_json: CHAT, "{broken" => 2000;
    body_without_model: CHAT, "{}" => 2000;
    unknown_model: CHAT, "{\"model\":\"other\"}" => 3003;
    oversized_body: CHAT, &"x".repeat(10_001) => 2004;
    oversized_name: [("x-workspace", &*"w".repeat(200)), ("x-class", "chat")], "{}" => 2000;
    missing_key: [("x-workspace", "w1"), ("x-class", "booking")], "{}" => 2005;
    malformed_key: [("x-workspace", "w1"), ("x-class", "booking"), ("idempotency-key", "mine")], "{}" => 2006;
}

#[test]
fn unknown_path_gets_a_code() {
    run(async {
        let fleet = Fleet::start(Plan { routers: 1, ..Plan::default() }).await;
        let reply = Call::get(fleet.routers[0].member.addr, "/nothing").send().await.unwrap();
        assert_eq!(reply.status, 404);
        assert!(String::from_utf8_lossy(&reply.body).contains("2001"));
    });
}

#[test]
fn missing_key_learns_a_prefix_that_works() {
    run(async {
        let fleet = Fleet::start(Plan { routers: 2, ..Plan::default() }).await;
        let headers = [("x-workspace", "w1"), ("x-class", "booking")];
        let answer = fleet.send(0, &headers, "{}").await.unwrap();
        let prefix = answer.json()["key_prefix"].as_str().unwrap().to_owned();
        let booked = fleet.book(0, &format!("{prefix}.mine")).await.unwrap();
        assert_eq!(booked.code, 1000);
    });
}

#[test]
fn forged_hints_change_nothing() {
    run(async {
        let fleet = Fleet::start(Plan { routers: 1, ..Plan::default() }).await;
        for hint in ["ffffffff.ffffffff", "garbage", "00000000.00000000", "1.2.3"] {
            let headers = [CHAT[0], CHAT[1], ("x-place-hint", hint)];
            let answer = fleet.send(0, &headers, chat_body("c", 3)).await.unwrap();
            assert!(is_whole(&answer, 3), "{answer:?}");
        }
    });
}

#[test]
fn malformed_http_is_answered_and_closed() {
    run(async {
        let fleet = Fleet::start(Plan { routers: 1, ..Plan::default() }).await;
        let oversized = format!("GET / HTTP/1.1\r\nx-long: {}\r\n\r\n", "y".repeat(40_000));
        for (request, status) in [("garbage\r\n\r\n", "400"), (oversized.as_str(), "431")] {
            let mut stream = TcpStream::connect(fleet.routers[0].member.addr).await.unwrap();
            // The router may close before it has read everything.
            let _ = stream.write_all(request.as_bytes()).await;
            let mut answer = [0; 12];
            stream.read_exact(&mut answer).await.unwrap();
            assert!(String::from_utf8_lossy(&answer).ends_with(status));
        }
    });
}

#[test]
fn undecodable_datagrams_are_counted_and_dropped() {
    run(async {
        let fleet = Fleet::start(Plan { routers: 1, ..Plan::default() }).await;
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        for datagram in [&b""[..], b"\x00", b"\x01\xff\xff", &[1; 1_400]] {
            socket.send_to(datagram, fleet.routers[0].peer).await.unwrap();
        }
        let ops = fleet.routers[0].ops;
        loop {
            let text = Call::get(ops, "/metrics").send_ok().await.unwrap();
            if String::from_utf8_lossy(&text).contains("mimosaledge_undecodable_total 4") {
                break;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        assert!(is_whole(&fleet.chat(0, "c", 3).await.unwrap(), 3));
    });
}

#[test]
fn requests_without_a_configuration_are_refused() {
    run(async {
        let fleet = Fleet::start_unconfigured(Plan { routers: 1, ..Plan::default() }).await;
        let answer = fleet.chat(0, "c", 1).await.unwrap();
        assert_eq!(answer.code, 3000);
        assert!(answer.json()["retry_after_ms"].as_u64().unwrap() > 0);
    });
}

/// Asks router `at` which routers to use.
async fn locate(fleet: &Fleet, at: usize, query: &str) -> Vec<String> {
    let path = format!("/locate?workspace=w1&{query}");
    let located: serde_json::Value = get(fleet.routers[at].member.addr, &path).await;
    let routers = located["routers"].as_array().unwrap().iter();
    routers.map(|it| it.as_str().unwrap().to_owned()).collect()
}

#[test]
fn locate_names_every_router_and_all_agree_on_the_first() {
    run(async {
        let fleet = Fleet::start(Plan::default()).await;
        let mut firsts = std::collections::HashSet::new();
        for n in 0..20 {
            let query = format!("chat=c{n}&data_centre=centre-b");
            let answers = [0, 1, 2].map(|at| locate(&fleet, at, &query));
            let answers = support::join_all(answers.into_iter()).await;
            assert!(answers.iter().all(|it| it.len() == 3 && it[0] == answers[0][0]));
            firsts.insert(answers[0][0].clone());
        }
        assert!(firsts.len() > 1, "chats must spread over routers");
    });
}

#[test]
fn locate_prefers_the_callers_data_centre_where_no_engine_decides() {
    run(async {
        let fleet = Fleet::start(Plan::default()).await;
        for n in 0..20 {
            let query = format!("chat=c{n}&data_centre=centre-b&model=other");
            let first = locate(&fleet, n % 3, &query).await.remove(0);
            assert_eq!(first, fleet.routers[1].member.addr.to_string());
        }
    });
}
