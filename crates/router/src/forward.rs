//! Forwarding of a request to the home of its idempotency key.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, header::HOST};
use mimosaledge_core::members::{Heartbeat, RouterRef};
use mimosaledge_net::server::{ReplyBody, reply};
use spdlog::info;
use tokio::time;

use crate::{node::Node, request::ClientRequest};

/// Interval between checks of the home's last heartbeat.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a heartbeat after which a home counts as paused or crashed and
/// its witness is queried instead, in milliseconds.
const SILENT_HOME_MS: u64 = 1_500;
/// Headers copied from the home's response to the response to the client.
const COPIED_HEADERS: [&str; 3] = ["x-code", "retry-after", "x-kept-by"];

/// Forwards a request to `home`; returns `None` if it gave no complete response.
///
/// The home runs a key at most once, so forwarding the request again is safe.
pub(crate) async fn forward_to_home(
    node: &Rc<Node>,
    request: &ClientRequest,
    home: Heartbeat,
) -> Option<Response<ReplyBody>> {
    let (router, addr) = (home.router, home.http);
    info!(
        "route: {} of {} forwarded to {addr}, home of its key",
        request.run_id, request.workspace
    );
    let time_left = Duration::from_millis(request.time_left(node.now()));
    tokio::select! {
        response = send_to_home(node, request, addr, time_left) => response,
        () = wait_until_silent(node, router) => None,
        () = time::sleep(time_left) => None,
    }
}

/// Waits until no heartbeat from a home has arrived for [`SILENT_HOME_MS`].
///
/// A run may take long, but a live home continues to send heartbeats.
async fn wait_until_silent(node: &Node, router: RouterRef) {
    let started_at = node.now();
    loop {
        time::sleep(CHECK_INTERVAL).await;
        let last_heard = node.state.borrow().members.get(router.id).map(|it| it.last_heard);
        let newest = last_heard.unwrap_or_default().max(started_at);
        if node.now().since(newest) >= SILENT_HOME_MS {
            return;
        }
    }
}

async fn send_to_home(
    node: &Rc<Node>,
    request: &ClientRequest,
    addr: SocketAddr,
    timeout: Duration,
) -> Option<Response<ReplyBody>> {
    let mut connection = node.upstream.connect(addr).await.ok()?;
    let http_request = Request::post("/v1/run")
        .header(HOST, addr.to_string())
        .header("x-forwarded-by", &*node.settings.name)
        .header("x-workspace", &*request.workspace)
        .header("x-class", &*request.class_name)
        .header("x-chat", &*request.chat)
        .header("x-request-id", &*request.id)
        .header("idempotency-key", request.key.as_deref()?)
        .body(Full::new(request.body.clone()))
        .ok()?;
    let response = connection.send(http_request, timeout).await.ok()?;
    let (parts, body) = response.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    connection.recycle();
    let mut response = reply(parts.status.as_u16(), body);
    for name in COPIED_HEADERS {
        if let Some(value) = parts.headers.get(name) {
            response.headers_mut().insert(name, value.clone());
        }
    }
    Some(response)
}
