//! The rate limit that an endpoint has named, as last observed by some gateway.

use mimosaledge_core::Millis;
use serde::{Deserialize, Serialize};

/// Time for which a change of a limit is sent in heartbeats, in milliseconds.
const GOSSIP_MS: u64 = 5_000;

/// The requests per second that an endpoint accepts from all gateways together.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RateLimit {
    /// The limit, if there is one.
    pub(crate) per_second: Option<f32>,
    /// When the endpoint last said so.
    observed_at: Millis,
    /// When the limit was last found to have changed.
    changed_at: Millis,
}

impl RateLimit {
    /// Applies what the endpoint said at `at`, unless something newer is known; returns
    /// whether the limit has changed.
    pub(crate) fn observe(&mut self, per_second: Option<f32>, at: Millis, now: Millis) -> bool {
        if at < self.observed_at {
            return false;
        }
        self.observed_at = at;
        if self.per_second == per_second {
            return false;
        }
        self.per_second = per_second;
        self.changed_at = now;
        true
    }

    /// Returns whether the limit has changed lately.
    pub(crate) fn is_news(&self, now: Millis) -> bool {
        self.changed_at > Millis::default() && now.since(self.changed_at) < GOSSIP_MS
    }

    /// Returns the limit of the endpoint `node`, for other gateways.
    pub(crate) fn to_sample(self, node: u64, now: Millis) -> RateLimitSample {
        let age_ms = now.since(self.observed_at).min(u64::from(u32::MAX)) as u32;
        RateLimitSample { endpoint: node as u32, per_second: self.per_second, age_ms }
    }
}

/// The rate limit of an endpoint, as one gateway tells it to others.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub(crate) struct RateLimitSample {
    /// Truncated node number of the endpoint.
    pub(crate) endpoint: u32,
    /// The limit, if there is one.
    pub(crate) per_second: Option<f32>,
    /// Time since the endpoint said so, in milliseconds.
    pub(crate) age_ms: u32,
}
