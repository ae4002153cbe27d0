//! Invalid input is rejected with a result code, and never leads to a hang, a
//! panic or the response to another request.

mod support;

use std::time::Duration;

use mimosaledge_net::http::Call;
use support::{Fleet, FleetOptions, chat_body, get, is_complete, run};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpStream, UdpSocket},
};

const CHAT: [(&str, &str); 2] = [("x-workspace", "w1"), ("x-class", "chat")];

/// Sends one request and checks its result code.
fn expect_code(headers: &[(&str, &str)], body: &str, code: u16) {
    run(async {
        let fleet = Fleet::start(FleetOptions { routers: 1, ..FleetOptions::default() }).await;
        let response = fleet.send(0, headers, body.to_owned()).await.unwrap();
        assert_eq!(response.code, code, "{response:?}");
        assert_eq!(response.json()["code"], code);
    });
}

macro_rules! rejected {
    ($($name:ident: $headers:expr, $body:expr => $code:expr;)*) => {$(
        #[test]
        fn $name() {
            expect_code(&$headers, $body, $code);
        }
    )*};
}

rejected! {
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
fn unknown_path_is_rejected_with_a_code() {
    run(async {
        let fleet = Fleet::start(FleetOptions { routers: 1, ..FleetOptions::default() }).await;
        let reply = Call::get(fleet.routers[0].process.addr, "/nothing").send().await.unwrap();
        assert_eq!(reply.status, 404);
        assert!(String::from_utf8_lossy(&reply.body).contains("2001"));
    });
}

#[test]
fn response_to_a_missing_key_has_a_usable_prefix() {
    run(async {
        let fleet = Fleet::start(FleetOptions { routers: 2, ..FleetOptions::default() }).await;
        let headers = [("x-workspace", "w1"), ("x-class", "booking")];
        let response = fleet.send(0, &headers, "{}").await.unwrap();
        let prefix = response.json()["key_prefix"].as_str().unwrap().to_owned();
        let booked = fleet.send_booking(0, &format!("{prefix}.mine")).await.unwrap();
        assert_eq!(booked.code, 1000);
    });
}

#[test]
fn forged_placement_hints_are_harmless() {
    run(async {
        let fleet = Fleet::start(FleetOptions { routers: 1, ..FleetOptions::default() }).await;
        for hint in ["ffffffff.ffffffff", "garbage", "00000000.00000000", "1.2.3"] {
            let headers = [CHAT[0], CHAT[1], ("x-place-hint", hint)];
            let response = fleet.send(0, &headers, chat_body("c", 3)).await.unwrap();
            assert!(is_complete(&response, 3), "{response:?}");
        }
    });
}

#[test]
fn malformed_http_gets_an_error_status() {
    run(async {
        let fleet = Fleet::start(FleetOptions { routers: 1, ..FleetOptions::default() }).await;
        let oversized = format!("GET / HTTP/1.1\r\nx-long: {}\r\n\r\n", "y".repeat(40_000));
        for (request, status) in [("garbage\r\n\r\n", "400"), (oversized.as_str(), "431")] {
            let mut stream = TcpStream::connect(fleet.routers[0].process.addr).await.unwrap();
            // The router may close the connection before reading the whole request.
            let _ = stream.write_all(request.as_bytes()).await;
            let mut response = [0; 12];
            stream.read_exact(&mut response).await.unwrap();
            assert!(String::from_utf8_lossy(&response).ends_with(status));
        }
    });
}

#[test]
fn undecodable_datagrams_are_counted_and_dropped() {
    run(async {
        let fleet = Fleet::start(FleetOptions { routers: 1, ..FleetOptions::default() }).await;
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
        assert!(is_complete(&fleet.send_chat(0, "c", 3).await.unwrap(), 3));
    });
}

#[test]
fn requests_without_a_configuration_are_rejected() {
    run(async {
        let fleet =
            Fleet::start_unconfigured(FleetOptions { routers: 1, ..FleetOptions::default() }).await;
        let response = fleet.send_chat(0, "c", 1).await.unwrap();
        assert_eq!(response.code, 3000);
        assert!(response.json()["retry_after_ms"].as_u64().unwrap() > 0);
    });
}

/// Returns the routers that router `index` lists for a request.
async fn locate(fleet: &Fleet, index: usize, query: &str) -> Vec<String> {
    let path = format!("/locate?workspace=w1&{query}");
    let located: serde_json::Value = get(fleet.routers[index].process.addr, &path).await;
    let routers = located["routers"].as_array().unwrap().iter();
    routers.map(|it| it.as_str().unwrap().to_owned()).collect()
}

#[test]
fn locate_lists_every_router_and_all_agree_on_the_first() {
    run(async {
        let fleet = Fleet::start(FleetOptions::default()).await;
        let mut firsts = std::collections::HashSet::new();
        for n in 0..20 {
            let query = format!("chat=c{n}&data_centre=centre-b");
            let responses = [0, 1, 2].map(|index| locate(&fleet, index, &query));
            let responses = support::join_all(responses.into_iter()).await;
            assert!(responses.iter().all(|it| it.len() == 3 && it[0] == responses[0][0]));
            firsts.insert(responses[0][0].clone());
        }
        assert!(firsts.len() > 1, "chats must spread over routers");
    });
}

#[test]
fn locate_prefers_the_clients_data_centre_if_no_engine_has_the_model() {
    run(async {
        let fleet = Fleet::start(FleetOptions::default()).await;
        for n in 0..20 {
            let query = format!("chat=c{n}&data_centre=centre-b&model=other");
            let first = locate(&fleet, n % 3, &query).await.remove(0);
            assert_eq!(first, fleet.routers[1].process.addr.to_string());
        }
    });
}
