//! The cost of the path: requests through a router against direct calls.

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
    caller::{Attempt, Caller, CallerRequest},
    tally::new_histogram,
};

const LIMIT: Duration = Duration::from_secs(5);

/// Cost that the path adds to a direct call, in milliseconds.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct PathCost {
    /// Requests of each kind.
    pub requests: u32,
    /// Median time to the first piece of a direct call.
    pub direct_p50: f64,
    /// 99th percentile of the same.
    pub direct_p99: f64,
    /// Median time to the first piece through a router.
    pub routed_p50: f64,
    /// 99th percentile of the same.
    pub routed_p99: f64,
    /// Difference of the medians.
    pub added_p50: f64,
    /// Difference of the 99th percentiles.
    pub added_p99: f64,
}

/// Measures direct and routed requests in turn, on an otherwise idle fleet.
///
/// # Errors
///
/// Returns an error if a request fails.
pub async fn measure(
    caller: &Caller,
    router: SocketAddr,
    engine: SocketAddr,
    model: &str,
    workspace: &str,
    class: &str,
    requests: u32,
) -> Result<PathCost> {
    let pool = Pool::new(LIMIT);
    let generate = GenerateRequest { model: model.to_owned(), segments: vec![(1, 10)], output: 4 };
    let body = Bytes::from(serde_json::to_vec(&generate)?);
    let (mut direct, mut routed) = (new_histogram(), new_histogram());
    for n in 0..requests {
        direct.saturating_record(call_direct(&pool, engine, &body, n).await?);
        let request = CallerRequest {
            workspace: workspace.to_owned(),
            chat: format!("latency-{n}"),
            class: class.to_owned(),
            id: format!("l{n}"),
            key: None,
            hint: None,
            streamed: true,
            body: body.clone(),
        };
        match caller.attempt(router, &request).await {
            Attempt::Whole(whole) => routed.saturating_record(whole.first.as_micros() as u64),
            other => return Err(eyre!("request {n} failed: {other:?}")),
        }
    }
    Ok(PathCost::from_histograms(requests, &direct, &routed))
}

impl PathCost {
    fn from_histograms(
        requests: u32,
        direct: &Histogram<u64>,
        routed: &Histogram<u64>,
    ) -> PathCost {
        let ms = |it: &Histogram<u64>, quantile| it.value_at_quantile(quantile) as f64 / 1e3;
        let (direct_p50, direct_p99) = (ms(direct, 0.5), ms(direct, 0.99));
        let (routed_p50, routed_p99) = (ms(routed, 0.5), ms(routed, 0.99));
        PathCost {
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

/// Returns the time to the first piece of a direct call, in microseconds.
async fn call_direct(pool: &Pool, engine: SocketAddr, body: &Bytes, n: u32) -> Result<u64> {
    let sent = Instant::now();
    let mut connection = pool.reuse(engine).await?;
    let request = Request::post("/generate")
        .header(HOST, engine.to_string())
        .header("x-request-id", format!("direct-{n}"))
        .body(Full::new(body.clone()))?;
    let response = connection.send(request, LIMIT).await?;
    let mut body = response.into_body();
    let first = body.frame().await.ok_or_else(|| eyre!("no answer"))?;
    first?;
    let elapsed = sent.elapsed().as_micros() as u64;
    body.collect().await?;
    connection.recycle();
    Ok(elapsed)
}
