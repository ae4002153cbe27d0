//! Budgets for sending requests a second time.
//!
//! Every gateway spends its own share of a service's budget: the ratio of the
//! requests that it received itself, and an equal part of the fixed slack.

use std::collections::{HashMap, VecDeque};

use mimosaledge_core::{Millis, Name};

/// Share of the budget that is used; the rest covers requests whose gateway
/// dies and views of the fleet that differ.
const USED_SHARE: f64 = 0.8;

/// The bound on repeats to one service, over all gateways.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimit {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed besides, in one window.
    pub slack: f64,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
}

#[derive(Debug, Default)]
struct Usage {
    requests: VecDeque<Millis>,
    repeats: VecDeque<Millis>,
}

/// The budgets of all services at one gateway.
#[derive(Debug)]
pub struct RetryBudget {
    limit: RetryLimit,
    services: HashMap<Name, Usage>,
}

impl RetryBudget {
    /// Makes full budgets.
    pub fn from_limit(limit: RetryLimit) -> RetryBudget {
        RetryBudget { limit, services: HashMap::new() }
    }

    /// Changes the bound from now on.
    pub fn set_limit(&mut self, limit: RetryLimit) {
        self.limit = limit;
    }

    /// Notes a client's request to `service`.
    pub fn note_request(&mut self, service: &Name, now: Millis) {
        let usage = self.services.entry(service.clone()).or_default();
        usage.requests.push_back(now);
        drop_older(&mut usage.requests, now, self.limit.window_ms);
    }

    /// Takes one repeat to `service` out of the budget of a gateway that is
    /// one of `gateways`; returns whether there was one.
    pub fn take(&mut self, service: &Name, gateways: usize, now: Millis) -> bool {
        let limit = self.limit;
        let usage = self.services.entry(service.clone()).or_default();
        drop_older(&mut usage.requests, now, limit.window_ms);
        drop_older(&mut usage.repeats, now, limit.window_ms);
        let slack = limit.slack / gateways.max(1) as f64;
        let allowed = (limit.ratio * usage.requests.len() as f64 + slack) * USED_SHARE;
        if usage.repeats.len() as f64 + 1.0 > allowed {
            return false;
        }
        usage.repeats.push_back(now);
        true
    }
}

fn drop_older(times: &mut VecDeque<Millis>, now: Millis, window_ms: u64) {
    while times.front().is_some_and(|&at| now.since(at) >= window_ms) {
        times.pop_front();
    }
}
