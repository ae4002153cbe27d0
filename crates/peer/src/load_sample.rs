//! Loads that endpoints have reported.

use serde::{Deserialize, Serialize};

/// The load that an endpoint reported to a gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSample {
    /// Truncated node number of the endpoint.
    endpoint: u32,
    load: u16,
    age_ms: u16,
}

impl LoadSample {
    /// Creates a sample of the load that the endpoint `node` reported `age_ms`
    /// ago.
    pub fn new(node: u64, load: u32, age_ms: u64) -> LoadSample {
        let saturate = |it: u64| it.min(u64::from(u16::MAX)) as u16;
        LoadSample { endpoint: node as u32, load: saturate(load.into()), age_ms: saturate(age_ms) }
    }

    /// Returns the truncated node number of the endpoint.
    pub fn endpoint(&self) -> u32 {
        self.endpoint
    }

    /// Returns the number of requests running and waiting at the endpoint.
    pub fn load(&self) -> u32 {
        self.load.into()
    }

    /// Returns the age of the sample when it was sent, in milliseconds.
    pub fn age_ms(&self) -> u64 {
        self.age_ms.into()
    }
}
