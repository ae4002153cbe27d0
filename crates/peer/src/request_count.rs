//! Requests in flight at endpoints.

use serde::{Deserialize, Serialize};

/// Number of requests of a gateway that are in flight at an endpoint with the
/// same prompt prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCount {
    /// Truncated node number of the endpoint.
    pub endpoint: u32,
    /// Truncated hash of the prefix; 0 for requests without one.
    pub prefix: u32,
    /// Number of the requests.
    pub requests: u16,
}

impl RequestCount {
    /// Node number in a count that is summed over all endpoints.
    pub const ALL_ENDPOINTS: u32 = 0;
}
