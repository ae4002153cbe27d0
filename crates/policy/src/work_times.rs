//! How long the requests of each route take.
//!
//! A gateway that shuts down begins only what ends before it exits.

use std::collections::{HashMap, VecDeque};

use mimosaledge_core::Name;

use crate::route::Route;

/// Number of requests of a route that are remembered.
const MAX_REQUESTS: usize = 32;
/// Of ten requests, this many take no longer than is expected.
const EXPECTED_TENTHS: usize = 9;

/// Times that the latest requests of each route took at an endpoint, in milliseconds.
#[derive(Debug, Default)]
pub struct WorkTimes {
    routes: HashMap<Name, VecDeque<u64>>,
}

impl WorkTimes {
    /// Records a request that took `ms`.
    pub fn record(&mut self, route: &Name, ms: u64) {
        if !self.routes.contains_key(route) {
            self.routes.insert(route.clone(), VecDeque::new());
        }
        let Some(times) = self.routes.get_mut(route) else { return };
        if times.len() == MAX_REQUESTS {
            times.pop_front();
        }
        times.push_back(ms);
    }

    /// Returns the time that a request of a route takes at most, as far as is known.
    pub fn expected_ms(&self, route: &Route) -> u64 {
        let Some(times) = self.routes.get(&route.name) else { return route.latency_goal_ms };
        let mut sorted: Vec<u64> = times.iter().copied().collect();
        sorted.sort_unstable();
        let index = (sorted.len() * EXPECTED_TENTHS).div_ceil(10).saturating_sub(1);
        sorted.get(index).copied().unwrap_or(route.latency_goal_ms)
    }

    /// Forgets routes that are not among `routes`.
    pub fn retain(&mut self, routes: &[Route]) {
        self.routes.retain(|name, _| routes.iter().any(|it| it.name == *name));
    }
}
