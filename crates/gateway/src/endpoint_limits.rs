//! The limits that an endpoint has named, as last observed by some gateway.

use mimosaledge_core::Millis;
use mimosaledge_peer::{EndpointLimits, LimitSample};

/// Time for which a change of limits is sent in heartbeats, in milliseconds.
const GOSSIP_MS: u64 = 5_000;

/// The limits of one endpoint, with the time of the observation.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ObservedLimits {
    pub(crate) limits: EndpointLimits,
    /// When the endpoint last named them.
    observed_at: Millis,
    /// When they were last found to have changed.
    changed_at: Millis,
}

impl ObservedLimits {
    /// Applies what the endpoint said at `at`, unless something newer is known; returns
    /// whether the limits have changed.
    pub(crate) fn observe(&mut self, limits: EndpointLimits, at: Millis, now: Millis) -> bool {
        if at < self.observed_at {
            return false;
        }
        self.observed_at = at;
        if self.limits == limits {
            return false;
        }
        self.limits = limits;
        self.changed_at = now;
        true
    }

    /// Returns whether the limits have changed lately.
    pub(crate) fn is_news(&self, now: Millis) -> bool {
        self.changed_at > Millis::default() && now.since(self.changed_at) < GOSSIP_MS
    }

    /// Returns the limits of the endpoint `node`, for other gateways.
    pub(crate) fn to_sample(self, node: u64, now: Millis) -> LimitSample {
        let age_ms = now.since(self.observed_at).min(u64::from(u32::MAX)) as u32;
        LimitSample { endpoint: node as u32, limits: self.limits, age_ms }
    }
}
