//! Limits that endpoints have named.

use serde::{Deserialize, Serialize};

/// What an endpoint accepts from all gateways together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointLimits {
    /// Requests per second, if it limits them.
    pub rate: Option<f32>,
    /// Requests that it can refuse in a second before it crashes, if it is brittle.
    pub max_refusals: Option<u32>,
}

impl EndpointLimits {
    /// Returns whether a request to the endpoint needs a permit.
    pub fn needs_permit(self) -> bool {
        self.rate.is_some() || self.max_refusals.is_some()
    }
}

/// The limits of an endpoint, as one gateway tells them to others.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitSample {
    /// Truncated node number of the endpoint.
    pub endpoint: u32,
    /// What the endpoint accepts.
    pub limits: EndpointLimits,
    /// Time since the endpoint said so, in milliseconds.
    pub age_ms: u32,
}
