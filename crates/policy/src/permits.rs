//! Permits to send requests to endpoints that limit their rate.
//!
//! The gateway that issues the permits of an endpoint holds a token bucket for it. The
//! bucket starts empty, so that a gateway that takes over adds no burst of its own to what
//! its predecessor has just issued, and holds few tokens, so that permits that were not
//! wanted for a while do not add up. Since the limit counts requests, whatever their size, the
//! permits go first to large requests that the endpoint is best for: the others get only what
//! those leave in a full bucket.

use std::collections::HashMap;

use mimosaledge_core::Millis;
use serde::{Deserialize, Serialize};

/// Maximum number of permits that may be issued at once.
const MAX_BURST: f64 = 2.0;
/// Weight of the latest request in the mean size.
const SIZE_WEIGHT: f64 = 0.02;
/// Lowest rate at which permits are issued, per second: without any request the gateways
/// would not learn that a limit has been raised.
const MIN_RATE: f64 = 0.1;
/// Time without a request for a permit after which a bucket is dropped, in milliseconds.
const RETENTION_MS: u64 = 30_000;

/// Response to a request for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// One request may be sent.
    Issued,
    /// No request may be sent; the next permit can be issued after this time, in
    /// milliseconds.
    Denied(u64),
}

/// Size of a request, compared to the others of its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestSize {
    /// At least as large as the mean, or of unknown size.
    Large,
    /// Smaller than the mean.
    Small,
}

/// Which permits a request may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Claim {
    /// Any permit: the request is large, and the endpoint is the best one for it.
    Preferred,
    /// One that is left over.
    Spare,
}

impl Claim {
    /// Returns the number of permits that must be available.
    fn min_tokens(self) -> f64 {
        match self {
            Claim::Preferred => 1.0,
            Claim::Spare => MAX_BURST,
        }
    }
}

/// Mean size of the requests to one service.
#[derive(Debug, Clone, Copy, Default)]
pub struct MeanSize {
    mean: Option<f64>,
}

impl MeanSize {
    /// Records a request that generates up to `tokens`; returns its size compared to the
    /// mean so far.
    pub fn record(&mut self, tokens: u32) -> RequestSize {
        let tokens = f64::from(tokens);
        let mean = self.mean.unwrap_or(tokens);
        self.mean = Some(mean + SIZE_WEIGHT * (tokens - mean));
        if tokens >= mean { RequestSize::Large } else { RequestSize::Small }
    }
}

#[derive(Debug)]
struct Bucket {
    tokens: f64,
    updated_at: Millis,
}

/// The token buckets of the endpoints whose permits one gateway issues.
#[derive(Debug, Default)]
pub struct Permits {
    buckets: HashMap<u64, Bucket>,
}

impl Permits {
    /// Issues a permit for a request to `endpoint`, which accepts `rate` requests per second,
    /// unless the limit is reached or `claim` does not suffice.
    ///
    /// `issuer_since` is the time from which this gateway issues the endpoint's permits.
    pub fn request(
        &mut self,
        endpoint: u64,
        rate: f64,
        claim: Claim,
        issuer_since: Millis,
        now: Millis,
    ) -> Decision {
        let rate = rate.max(MIN_RATE);
        if now < issuer_since {
            return Decision::Denied(issuer_since.since(now) + interval_ms(rate, 1.0));
        }
        let bucket = self
            .buckets
            .entry(endpoint)
            .or_insert(Bucket { tokens: 0.0, updated_at: issuer_since });
        if bucket.updated_at < issuer_since {
            *bucket = Bucket { tokens: 0.0, updated_at: issuer_since };
        }
        let elapsed_s = now.since(bucket.updated_at) as f64 / 1_000.0;
        bucket.tokens = (bucket.tokens + elapsed_s * rate).min(MAX_BURST);
        bucket.updated_at = now;
        let missing = claim.min_tokens() - bucket.tokens;
        if missing > 0.0 {
            return Decision::Denied(interval_ms(rate, missing));
        }
        bucket.tokens -= 1.0;
        Decision::Issued
    }

    /// Drops the buckets of endpoints that no permits are wanted for any more.
    pub fn remove_unused(&mut self, now: Millis) {
        self.buckets.retain(|_, it| now.since(it.updated_at) < RETENTION_MS);
    }
}

/// Returns the time in which `tokens` accrue, in milliseconds.
fn interval_ms(rate: f64, tokens: f64) -> u64 {
    (tokens / rate * 1_000.0).ceil() as u64
}
