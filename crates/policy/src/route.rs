//! Routes from requests to services.

use mimosaledge_core::Name;
use serde::{Deserialize, Serialize};

/// What may be repeated when the outcome of a run is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// The request is idempotent.
    Always,
    /// A stream that can go on after the last event received.
    Resume,
    /// At most one run.
    Never,
}

/// A share of a route's requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// The service that runs the share.
    pub service: Name,
    /// The share, against the other targets' weights.
    pub weight: u32,
}

/// A route: requests below a path prefix of a host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The route's name.
    pub name: Name,
    /// The host that the request names.
    pub host: Name,
    /// The path prefix, with a slash at both ends.
    pub prefix: Name,
    /// Services that run the requests.
    pub targets: Vec<Target>,
    /// What may be repeated.
    pub repeat: Repeat,
    /// Whether the response is a stream of events.
    pub streaming: bool,
    /// Whether requests are accepted without an API key.
    pub anonymous: bool,
    /// Whether requests share prompt prefixes that engines cache.
    pub sticky: bool,
    /// Longest time until the final answer, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer is on time, in milliseconds.
    pub goal_ms: u64,
    /// Longest pause between events that is on time, in milliseconds.
    pub gap_ms: u64,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Most endpoints that may run one request.
    pub max_attempts: u32,
}

impl Route {
    /// Returns the service for `key` by the targets' weights.
    pub fn select_service(&self, key: u64) -> Option<&Name> {
        let total: u64 = self.targets.iter().map(|it| u64::from(it.weight)).sum();
        if total == 0 {
            return self.targets.first().map(|it| &it.service);
        }
        let mut point = key % total;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if point < weight {
                return Some(&target.service);
            }
            point -= weight;
        }
        None
    }
}
