//! Choice of an endpoint by many gateways that know the same old loads.
//!
//! If all of them chose the endpoint that looked best, they would overrun it until they
//! learned of each other's requests. Each chooses at random instead, such that the requests
//! that have arrived since the loads were known fill up the least loaded endpoints to one
//! level: the older the news, the more requests, and the more even the choice.

use crate::placement::to_unit;

/// What one endpoint has to do, as far as known.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Backlog {
    /// Requests that it runs or has queued.
    pub load: f64,
    /// Time that one more request takes there, relative to the other endpoints.
    pub pace: f64,
    /// Share of requests for which it is passed over, from 0 to 1.
    pub passed_over: f64,
}

/// Chooses among endpoints of which some got `unsettled` requests that their loads do not
/// include; returns the index, or `None` if there is none.
///
/// `random` is a random number.
pub fn choose(backlogs: &[Backlog], unsettled: f64, random: u64) -> Option<usize> {
    let shares = shares(backlogs, unsettled);
    let total: f64 = shares.iter().sum();
    let mut left = to_unit(random) * total;
    for (index, share) in shares.iter().enumerate() {
        if left < *share {
            return Some(index);
        }
        left -= share;
    }
    // All are passed over, or the number was rounded up.
    let by_cost = |a: &usize, b: &usize| cost(&backlogs[*a]).total_cmp(&cost(&backlogs[*b]));
    (0..backlogs.len()).min_by(by_cost)
}

/// Returns how much of the `unsettled` requests and of the one to be sent each endpoint
/// should get.
pub fn shares(backlogs: &[Backlog], unsettled: f64) -> Vec<f64> {
    let level = level(backlogs, unsettled + 1.0);
    let to_share = |it: &Backlog| {
        let room = (level / it.pace - it.load).max(0.0);
        room * (1.0 - it.passed_over)
    };
    backlogs.iter().map(to_share).collect()
}

/// Returns the cost up to which `requests` fill the least loaded endpoints.
fn level(backlogs: &[Backlog], requests: f64) -> f64 {
    let mut by_cost: Vec<&Backlog> = backlogs.iter().collect();
    by_cost.sort_unstable_by(|a, b| cost(a).total_cmp(&cost(b)));
    let (mut load, mut rate, mut level) = (requests, 0.0, f64::MAX);
    for it in by_cost {
        if cost(it) >= level {
            break;
        }
        load += it.load;
        rate += 1.0 / it.pace;
        level = load / rate;
    }
    level
}

fn cost(backlog: &Backlog) -> f64 {
    backlog.load * backlog.pace
}
