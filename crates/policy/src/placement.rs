//! Placement of requests on endpoints.
//!
//! Requests that share a prompt prefix go to the engine that has it cached:
//! every gateway ranks the engines for the prefix alike, by rendezvous hashing,
//! and takes the first one whose load is within a bound. So a hot prefix
//! spreads over the next engines in its rank and comes back when it cools.
//! Other requests go to the least loaded endpoint.

use mimosaledge_core::hash::rendezvous_score;

/// Load up to which a request stays with its cached prefix, against the mean
/// load of the service.
const STAY_FACTOR: f64 = 1.35;
/// Requests above the bound that are always allowed, so that an idle service
/// does not scatter its prefixes.
const STAY_SLACK: f64 = 2.0;
/// Extra load, in requests, that equals the cost of another data centre.
const DISTANCE_LOAD: f64 = 0.5;
/// Load, in requests, that equals a failure rate of one.
const FAILURE_LOAD: f64 = 12.0;

/// An endpoint that may take a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Stable number of the endpoint, the same at every gateway.
    pub node: u64,
    /// Requests that it runs or holds, as far as known.
    pub load: f64,
    /// Whether it stands in the gateway's own data centre.
    pub near: bool,
    /// Share of its latest requests that failed, 0 to 1.
    pub failing: f64,
}

impl Candidate {
    fn cost(&self) -> f64 {
        let distance = if self.near { 0.0 } else { DISTANCE_LOAD };
        self.load + distance + FAILURE_LOAD * self.failing
    }
}

/// Chooses the endpoint for a request; returns its index in `candidates`.
///
/// `prefix` identifies the cached prompt prefix, if the request has one;
/// `pick` is a random number that breaks ties.
pub fn choose(prefix: Option<u64>, candidates: &[Candidate], pick: u64) -> Option<usize> {
    match prefix {
        Some(prefix) => choose_cached(prefix, candidates).or_else(|| choose_idle(candidates, pick)),
        None => choose_idle(candidates, pick),
    }
}

/// Returns the load up to which an endpoint is offered cached prefixes.
pub fn stay_bound(candidates: &[Candidate]) -> f64 {
    let total: f64 = candidates.iter().map(|it| it.load).sum();
    let mean = total / candidates.len().max(1) as f64;
    mean * STAY_FACTOR + STAY_SLACK
}

fn choose_cached(prefix: u64, candidates: &[Candidate]) -> Option<usize> {
    let bound = stay_bound(candidates);
    candidates
        .iter()
        .enumerate()
        .filter(|(_, it)| it.load + FAILURE_LOAD * it.failing <= bound)
        .max_by(|(_, a), (_, b)| {
            let score = |it: &Candidate| rendezvous_score(prefix, it.node, 1.0);
            score(a).total_cmp(&score(b))
        })
        .map(|(at, _)| at)
}

fn choose_idle(candidates: &[Candidate], pick: u64) -> Option<usize> {
    let count = candidates.len();
    let first = pick as usize % count.max(1);
    (0..count)
        .map(|step| (first + step) % count)
        .min_by(|&a, &b| candidates[a].cost().total_cmp(&candidates[b].cost()))
}
