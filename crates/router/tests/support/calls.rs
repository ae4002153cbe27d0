//! HTTP calls to routers and simulated back ends, and helpers to build requests
//! and check responses.

use std::{future::Future, net::SocketAddr};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, header::HOST};
use mimosaledge_core::head::HeadReplica;
use mimosaledge_net::{
    http::Call,
    pool::{Pool, PoolError},
};
use mimosaledge_router::ops::Status;
use mimosaledge_standin::engine;
use serde::de::DeserializeOwned;

use super::{CALL_TIMEOUT, MODEL};

/// A response as received by a client; `code` is zero if the header is missing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) code: u16,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: String,
}

impl Response {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|it| it.0 == name).map(|it| it.1.as_str())
    }

    pub(crate) fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap()
    }
}

/// Runs the futures concurrently and returns their results in order.
pub(crate) async fn join_all<F: Future>(futures: impl Iterator<Item = F>) -> Vec<F::Output> {
    let mut pending: Vec<_> = futures.map(|it| (Box::pin(it), None)).collect();
    std::future::poll_fn(|cx| {
        for (future, result) in &mut pending {
            if result.is_none()
                && let std::task::Poll::Ready(value) = future.as_mut().poll(cx)
            {
                *result = Some(value);
            }
        }
        match pending.iter().all(|it| it.1.is_some()) {
            true => std::task::Poll::Ready(()),
            false => std::task::Poll::Pending,
        }
    })
    .await;
    pending.into_iter().filter_map(|it| it.1).collect()
}

/// Returns the body of a chat request for `output` tokens.
pub(crate) fn chat_body(chat: &str, output: u32) -> String {
    let segment = engine::output_segment(chat);
    format!("{{\"model\":\"{MODEL}\",\"segments\":[[{segment},20]],\"output\":{output}}}")
}

/// Returns whether `response` is a complete stream of `output` tokens.
pub(crate) fn is_complete(response: &Response, output: u32) -> bool {
    let run_id = response.header("x-run-id").unwrap_or_default();
    let frames: Vec<engine::Frame> =
        response.body.lines().filter_map(|it| serde_json::from_str(it).ok()).collect();
    let ordered = frames.iter().zip(0..).all(|(frame, n)| frame.n == n && frame.id == run_id);
    let sum = frames.last().and_then(|it| it.sum.clone());
    ordered && frames.len() as u32 == output + 1 && sum == Some(engine::checksum(run_id, output))
}

/// Sends a request to the router at `addr` over a new connection.
pub(crate) async fn send(
    pool: &Pool,
    addr: SocketAddr,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> Result<Response, PoolError> {
    let mut connection = pool.connect(addr).await?;
    let mut request = Request::post("/v1/run").header(HOST, addr.to_string());
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(body.into())).unwrap();
    let response = connection.send(request, CALL_TIMEOUT).await?;
    let header = |it: &hyper::header::HeaderValue| it.to_str().unwrap_or("").to_owned();
    let headers: Vec<(String, String)> =
        response.headers().iter().map(|it| (it.0.to_string(), header(it.1))).collect();
    let code = headers.iter().find(|it| it.0 == "x-code").and_then(|it| it.1.parse().ok());
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.map_err(|_| PoolError::Broken)?.to_bytes();
    let body = String::from_utf8_lossy(&body).into_owned();
    Ok(Response { status, code: code.unwrap_or(0), headers, body })
}

pub(crate) async fn post(addr: SocketAddr, path: &str, body: Vec<u8>) {
    Call::post(addr, path, body).send_ok().await.unwrap();
}

pub(crate) async fn get<T: DeserializeOwned>(addr: SocketAddr, path: &str) -> T {
    let body = Call::get(addr, path).send_ok().await.unwrap();
    serde_json::from_slice(&body).unwrap()
}

/// Returns the HTTP status of the response to GET `path`.
pub(crate) async fn get_status(addr: SocketAddr, path: &str) -> u16 {
    Call::get(addr, path).send().await.unwrap().status
}

/// Returns the status of a router, or `None` if it does not respond.
pub(crate) async fn status(ops: SocketAddr) -> Option<Status> {
    let body = Call::get(ops, "/status").send_ok().await.ok()?;
    serde_json::from_slice(&body).ok()
}

pub(crate) async fn head_replica(ops: SocketAddr) -> HeadReplica {
    get(ops, "/head").await
}
