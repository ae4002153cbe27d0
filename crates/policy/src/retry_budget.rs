//! Retry budgets per service.
//!
//! The budget of a service is shared by all gateways without coordination: each
//! one may retry a ratio of the requests that it has received itself, plus an
//! equal part of a fixed allowance. A gateway that has restarted does not know how much
//! of its part it has used before, and takes none of it until a window has passed.
//!
//! The limit holds in every window of its length. The requests that count for a window are
//! those sent in it, in the one before it or in the one half a window earlier, whichever are
//! most: retries follow their requests.
//!
//! A request counts once, at one gateway, and each of its sends after the first is a retry,
//! whichever gateway sends it and for whatever reason. Nothing is sent without a
//! [`SendGrant`].

use std::collections::{HashMap, VecDeque};

use mimosaledge_core::{Millis, Name};

use crate::sends::{SendGrant, Sends};

/// Number of windows that the limit is checked in: those that include the present, begun at
/// regular intervals.
const WINDOW_STARTS: u64 = 40;

/// The limit on retries to one service, over all gateways.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimit {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in one window regardless of the number of requests.
    pub slack: f64,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
    /// Share of the budget that gateways use.
    pub usable_share: f64,
}

/// How much of its part of a budget a gateway has used in one window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetState {
    /// Number of requests that count for the window.
    pub requests: usize,
    /// Number of retries.
    pub retries: usize,
    /// Number of retries that these requests and the allowance permit.
    pub allowed: f64,
}

impl BudgetState {
    /// Returns the number of retries that are left.
    fn rest(&self) -> f64 {
        self.allowed - self.retries as f64
    }
}

#[derive(Debug, Default)]
struct Usage {
    /// Requests of the last two windows.
    requests: VecDeque<Millis>,
    /// Retries of the last window.
    retries: VecDeque<Millis>,
}

impl Usage {
    /// Counts the requests that count for the window that begins at `start`.
    fn count_requests(&self, start: Millis, window_ms: u64) -> usize {
        let count_from = |from: Millis| count_between(&self.requests, from, from + window_ms);
        let starts = [start, start - window_ms / 2, start - window_ms];
        starts.into_iter().map(count_from).max().unwrap_or_default()
    }
}

/// The retry budgets of all services at one gateway.
#[derive(Debug)]
pub struct RetryBudget {
    limit: RetryLimit,
    /// Time before which none of the allowance may be used.
    slack_from: Millis,
    services: HashMap<Name, Usage>,
}

impl RetryBudget {
    /// Creates budgets from which nothing has been used.
    pub fn new(limit: RetryLimit) -> RetryBudget {
        RetryBudget { limit, slack_from: Millis::default(), services: HashMap::new() }
    }

    /// Creates the budgets of a gateway that starts at `now` and may have used its part of
    /// the allowance before.
    pub fn after_restart(limit: RetryLimit, now: Millis) -> RetryBudget {
        RetryBudget { slack_from: now + limit.window_ms, ..RetryBudget::new(limit) }
    }

    /// Replaces the limit; requests and retries in the window still count.
    pub fn set_limit(&mut self, limit: RetryLimit) {
        self.limit = limit;
    }

    /// Records a client's request to `service`, unless a gateway has done so before.
    pub fn record_request(&mut self, service: &Name, sends: &mut Sends, now: Millis) {
        if std::mem::replace(&mut sends.is_recorded, true) {
            return;
        }
        let usage = self.services.entry(service.clone()).or_default();
        usage.requests.push_back(now);
        remove_expired(&mut usage.requests, now, 2 * self.limit.window_ms);
    }

    /// Allows a request to be sent to an endpoint of `service`: if it may have been sent to
    /// one before, this takes a retry from the budget of this gateway, which is one of
    /// `gateways`, unless it is prepaid. Returns `None` if no retry is left.
    pub fn admit(
        &mut self,
        service: &Name,
        sends: &mut Sends,
        gateways: usize,
        now: Millis,
    ) -> Option<SendGrant> {
        let is_charged = sends.is_charged();
        if is_charged && !self.take_retry(service, gateways, now) {
            return None;
        }
        sends.is_prepaid = false;
        sends.sent += 1;
        Some(SendGrant { is_charged })
    }

    /// Takes a grant back that was not used, since the endpoint could not be reached.
    pub fn refund(&mut self, service: &Name, grant: SendGrant) {
        if grant.is_charged
            && let Some(usage) = self.services.get_mut(service)
        {
            usage.retries.pop_back();
        }
    }

    /// Takes the next send of a request that is handed over from the budget of this gateway,
    /// if that is a retry and allowed, so that the other gateway need not.
    pub fn prepay(&mut self, service: &Name, sends: &mut Sends, gateways: usize, now: Millis) {
        if sends.is_charged() {
            sends.is_prepaid = self.take_retry(service, gateways, now);
        }
    }

    fn take_retry(&mut self, service: &Name, gateways: usize, now: Millis) -> bool {
        let state = self.state(service, gateways, now);
        if state.retries as f64 + 1.0 > state.allowed {
            return false;
        }
        self.services.entry(service.clone()).or_default().retries.push_back(now);
        true
    }

    /// Returns what this gateway, which is one of `gateways`, has used of the budget of
    /// `service` in the window that has least of it left and includes `now`.
    pub fn state(&mut self, service: &Name, gateways: usize, now: Millis) -> BudgetState {
        let limit = self.limit;
        let usage = self.services.entry(service.clone()).or_default();
        remove_expired(&mut usage.requests, now, 2 * limit.window_ms);
        remove_expired(&mut usage.retries, now, limit.window_ms);
        let slack = match now < self.slack_from {
            true => 0.0,
            false => limit.slack / gateways.max(1) as f64,
        };
        let start = |index: u64| now - limit.window_ms * index / WINDOW_STARTS;
        let count_requests = |index| usage.count_requests(start(index), limit.window_ms);
        // The windows that begin at one start, at the next earlier one or between them.
        let state_of = |index| {
            let requests = count_requests(index).min(count_requests(index + 1));
            let allowed = (limit.ratio * requests as f64 + slack) * limit.usable_share;
            let retries = count_between(&usage.retries, start(index + 1), now + 1);
            BudgetState { requests, retries, allowed }
        };
        let states = (1..WINDOW_STARTS).map(state_of);
        states.fold(state_of(0), |least, it| if it.rest() < least.rest() { it } else { least })
    }
}

/// Counts the sorted `times` from `start` until before `end`.
fn count_between(times: &VecDeque<Millis>, start: Millis, end: Millis) -> usize {
    times.partition_point(|it| *it < end) - times.partition_point(|it| *it < start)
}

fn remove_expired(times: &mut VecDeque<Millis>, now: Millis, window_ms: u64) {
    while times.front().is_some_and(|&at| now.since(at) >= window_ms) {
        times.pop_front();
    }
}
