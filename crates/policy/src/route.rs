//! Routes from requests to services.

use mimosaledge_core::Name;
use serde::{Deserialize, Serialize};

/// Whether a request may be sent again when it may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetryPolicy {
    /// It may, since it is idempotent.
    Always,
    /// It may, to resume its stream after the last event received.
    Resume,
    /// It must not: it runs at most once.
    Never,
}

/// A service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// The service's name.
    pub service: Name,
    /// The share, relative to the weights of the other targets.
    pub weight: u32,
}

/// A rule for requests to a host whose path begins with a prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The route's name.
    pub name: Name,
    /// The host of the requests, without a port.
    pub host: Name,
    /// The path prefix, with a slash at both ends.
    pub path_prefix: Name,
    /// The services that receive the requests.
    pub targets: Vec<Target>,
    /// Whether a request may be sent again when it may have run.
    pub retry: RetryPolicy,
    /// Whether the response is a stream of events.
    pub streaming: bool,
    /// Whether requests are accepted without an API key.
    pub anonymous: bool,
    /// Whether requests with the same prompt prefix go to the engine that has
    /// it cached.
    pub sticky: bool,
    /// Timeout for the complete response, in milliseconds.
    pub timeout_ms: u64,
    /// Target latency of the response, in milliseconds.
    pub latency_goal_ms: u64,
    /// Target for the longest time between two events of a stream, in
    /// milliseconds.
    pub gap_goal_ms: u64,
    /// Priority of requests from workspaces without one; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of endpoints that may run one request.
    pub max_attempts: u32,
}

impl Route {
    /// Selects a service for `key`, in proportion to the targets' weights.
    pub fn select_service(&self, key: u64) -> Option<&Name> {
        let total: u64 = self.targets.iter().map(|it| u64::from(it.weight)).sum();
        if total == 0 {
            return self.targets.first().map(|it| &it.service);
        }
        let mut remainder = key % total;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if remainder < weight {
                return Some(&target.service);
            }
            remainder -= weight;
        }
        None
    }
}
