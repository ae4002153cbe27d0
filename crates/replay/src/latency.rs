//! Measures the latency that a router adds, compared with direct calls to an
//! engine.

use std::{net::SocketAddr, time::Instant};

use bytes::Bytes;
use eyre::{Result, eyre};
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::{Request, header::HOST};
use mimosaledge_net::pool::Pool;
use mimosaledge_standin::engine::GenerateRequest;
use serde::Serialize;
use tokio::time::Duration;

use crate::{
    client::{AttemptResult, Client, ClientRequest},
    tally::new_histogram,
};

/// Timeout of a direct call, for connecting and for the response head.
const DIRECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Latency of direct and routed requests, and their difference, in milliseconds.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct RouterOverhead {
    /// Number of direct requests and of routed requests.
    pub requests: u32,
    /// Median time to the first token of a direct call.
    pub direct_p50: f64,
    /// 99th percentile of the time to the first token of a direct call.
    pub direct_p99: f64,
    /// Median time to the first token through a router.
    pub routed_p50: f64,
    /// 99th percentile of the time to the first token through a router.
    pub routed_p99: f64,
    /// Difference of the medians.
    pub added_p50: f64,
    /// Difference of the 99th percentiles.
    pub added_p99: f64,
}

/// Sends direct and routed requests alternately and compares their latency.
///
/// The fleet should serve no other requests in the meantime.
///
/// # Errors
///
/// Returns an error if a request fails.
pub async fn measure(
    client: &Client,
    router: SocketAddr,
    engine: SocketAddr,
    model: &str,
    workspace: &str,
    class: &str,
    requests: u32,
) -> Result<RouterOverhead> {
    let pool = Pool::new(DIRECT_TIMEOUT);
    let generate = GenerateRequest { model: model.to_owned(), segments: vec![(1, 10)], output: 4 };
    let body = Bytes::from(serde_json::to_vec(&generate)?);
    let (mut direct, mut routed) = (new_histogram(), new_histogram());
    for n in 0..requests {
        direct.saturating_record(call_direct(&pool, engine, &body, n).await?);
        let request = ClientRequest {
            workspace: workspace.to_owned(),
            chat: format!("latency-{n}"),
            class: class.to_owned(),
            id: format!("l{n}"),
            key: None,
            hint: None,
            streamed: true,
            body: body.clone(),
        };
        match client.attempt(router, &request).await {
            AttemptResult::Complete(response) => {
                routed.saturating_record(response.first_token.as_micros() as u64)
            }
            other => return Err(eyre!("request {n} failed: {other:?}")),
        }
    }
    Ok(RouterOverhead::from_histograms(requests, &direct, &routed))
}

impl RouterOverhead {
    fn from_histograms(
        requests: u32,
        direct: &Histogram<u64>,
        routed: &Histogram<u64>,
    ) -> RouterOverhead {
        let ms = |it: &Histogram<u64>, quantile| it.value_at_quantile(quantile) as f64 / 1e3;
        let (direct_p50, direct_p99) = (ms(direct, 0.5), ms(direct, 0.99));
        let (routed_p50, routed_p99) = (ms(routed, 0.5), ms(routed, 0.99));
        RouterOverhead {
            requests,
            direct_p50,
            direct_p99,
            routed_p50,
            routed_p99,
            added_p50: routed_p50 - direct_p50,
            added_p99: routed_p99 - direct_p99,
        }
    }
}

/// Returns the time to the first body frame, which carries the first token, of a
/// direct call, in microseconds.
async fn call_direct(pool: &Pool, engine: SocketAddr, body: &Bytes, n: u32) -> Result<u64> {
    let sent = Instant::now();
    let mut connection = pool.acquire(engine).await?;
    let request = Request::post("/generate")
        .header(HOST, engine.to_string())
        .header("x-request-id", format!("direct-{n}"))
        .body(Full::new(body.clone()))?;
    let response = connection.send(request, DIRECT_TIMEOUT).await?;
    let mut body = response.into_body();
    let first = body.frame().await.ok_or_else(|| eyre!("engine sent an empty body"))?;
    first?;
    let elapsed = sent.elapsed().as_micros() as u64;
    body.collect().await?;
    connection.recycle();
    Ok(elapsed)
}
