//! Passing a request on to the router that is its key's home.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, header::HOST};
use mimosaledge_core::members::{Heartbeat, RouterRef};
use mimosaledge_net::server::{ReplyBody, reply};
use spdlog::info;
use tokio::time;

use crate::{node::Node, request::Ask};

/// Interval between looks at whether the home is still heard of.
const LOOK: Duration = Duration::from_millis(100);
/// Silence after which a home counts as paused or dead, so that its witness
/// judges, in milliseconds.
const SILENT_HOME_MS: u64 = 1_500;
/// Headers of the home's answer that go back to the caller.
const PASSED_HEADERS: [&str; 3] = ["x-code", "retry-after", "x-kept-by"];

/// Passes a request on to `home`; returns `None` if it gave no whole answer.
///
/// The home's own answers to a key are idempotent, so asking it is always safe.
pub(crate) async fn pass_on(
    node: &Rc<Node>,
    ask: &Ask,
    home: Heartbeat,
) -> Option<Response<ReplyBody>> {
    let (router, home) = (home.router, home.http);
    info!("route: {} of {} passed on to {home}, home of its key", ask.run_id, ask.workspace);
    let left = Duration::from_millis(ask.time_left(node.now()));
    tokio::select! {
        response = exchange(node, ask, home, left) => response,
        () = home_silent(node, router) => None,
        () = time::sleep(left) => None,
    }
}

/// Waits until a home has not been heard of for long: a run may take its time,
/// but a home that lives goes on sending heartbeats.
async fn home_silent(node: &Node, router: RouterRef) {
    let asked_at = node.now();
    loop {
        time::sleep(LOOK).await;
        let heard_at = node.cores.borrow().members.get(router.id).map(|it| it.last_heard);
        let newest = heard_at.unwrap_or_default().max(asked_at);
        if node.now().since(newest) >= SILENT_HOME_MS {
            return;
        }
    }
}

async fn exchange(
    node: &Rc<Node>,
    ask: &Ask,
    home: SocketAddr,
    limit: Duration,
) -> Option<Response<ReplyBody>> {
    let mut connection = node.upstream.connect(home).await.ok()?;
    let request = Request::post("/v1/run")
        .header(HOST, home.to_string())
        .header("x-forwarded-by", &*node.settings.name)
        .header("x-workspace", &*ask.workspace)
        .header("x-class", &*ask.class_name)
        .header("x-chat", &*ask.chat)
        .header("x-request-id", &*ask.id)
        .header("idempotency-key", ask.key.as_deref()?)
        .body(Full::new(ask.body.clone()))
        .ok()?;
    let answer = connection.send(request, limit).await.ok()?;
    let (parts, body) = answer.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    connection.recycle();
    let mut response = reply(parts.status.as_u16(), body);
    for name in PASSED_HEADERS {
        if let Some(value) = parts.headers.get(name) {
            response.headers_mut().insert(name, value.clone());
        }
    }
    Some(response)
}
