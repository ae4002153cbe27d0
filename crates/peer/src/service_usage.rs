//! Recent requests to services, for gateways that share the room there.

use mimosaledge_policy::fair_share::PRIORITIES;
use serde::{Deserialize, Serialize};

/// Parts of one request in the counts of [`RequestUsage`].
const COUNT_PARTS: f64 = 16.0;

/// Recent requests at the sender; older ones count less.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestUsage {
    arrived: u16,
    admitted: u16,
}

impl RequestUsage {
    /// Creates the counts of requests that `arrived`, and of those that were `admitted`.
    pub fn new(arrived: f64, admitted: f64) -> RequestUsage {
        let to_parts = |it: f64| (it * COUNT_PARTS).round() as u16;
        RequestUsage { arrived: to_parts(arrived), admitted: to_parts(admitted) }
    }

    /// Returns the number of requests that arrived.
    pub fn arrived(&self) -> f64 {
        f64::from(self.arrived) / COUNT_PARTS
    }

    /// Returns the number of those that were admitted.
    pub fn admitted(&self) -> f64 {
        f64::from(self.admitted) / COUNT_PARTS
    }
}

/// Recent requests to a service that lacks room.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceUsage {
    /// Hash of the service's name.
    pub service: u32,
    /// Requests of all workspaces.
    pub total: RequestUsage,
    /// Requests that endpoints have completed, in 16ths.
    pub completed: u16,
    /// Share of those that arrived which were refused before, in 255ths.
    pub returned: u8,
    /// Share of those that arrived by priority, the most urgent first, in 255ths.
    pub priorities: [u8; PRIORITIES],
    /// Hashes of the names of the workspaces with most requests, and these.
    pub workspaces: Vec<(u32, RequestUsage)>,
}
