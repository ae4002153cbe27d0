//! Placement of requests on endpoints.
//!
//! Requests that share a prompt prefix go to the engine that has it cached:
//! every gateway ranks the engines for the prefix alike, by rendezvous hashing,
//! and takes the first one whose load is within a bound. A hot prefix has as
//! many homes in its rank as its running requests need, and comes back to one
//! when it cools.
//! Other requests go to the better one of two endpoints drawn at random.

use mimosaledge_core::hash::rendezvous_score;

/// Load up to which a request stays with its cached prefix, against the mean
/// load of the service.
const STAY_FACTOR: f64 = 1.35;
/// Requests above the bound that are always allowed, so that an idle service
/// does not scatter its prefixes.
const STAY_SLACK: f64 = 2.0;
/// Extra load, in requests, that equals the cost of another data centre.
const DISTANCE_LOAD: f64 = 0.5;
/// Load, in requests, that equals a failure rate of one beyond that of the
/// service's best endpoint.
const FAILURE_LOAD: f64 = 20.0;

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
    fn cost(&self, least_failing: f64) -> f64 {
        let distance = if self.near { 0.0 } else { DISTANCE_LOAD };
        self.load_with_failures(least_failing) + distance
    }

    fn load_with_failures(&self, least_failing: f64) -> f64 {
        self.load + FAILURE_LOAD * (self.failing - least_failing)
    }
}

/// A prompt prefix that requests share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Prefix {
    /// Identifies the prefix.
    pub key: u64,
    /// Requests with it that run at all endpoints, as far as known.
    pub running: f64,
}

/// Chooses the endpoint for a request; returns its index in `candidates`.
///
/// `prefix` is the cached prompt prefix, if the request has one; `pick` is a
/// random number that spreads requests and breaks ties.
pub fn choose(prefix: Option<Prefix>, candidates: &[Candidate], pick: u64) -> Option<usize> {
    match prefix {
        Some(prefix) => {
            choose_cached(prefix, candidates, pick).or_else(|| choose_idle(candidates, pick))
        }
        None => choose_idle(candidates, pick),
    }
}

/// Returns the load up to which an endpoint is offered cached prefixes.
pub fn stay_bound(candidates: &[Candidate]) -> f64 {
    let total: f64 = candidates.iter().map(|it| it.load).sum();
    let mean = total / candidates.len().max(1) as f64;
    mean * STAY_FACTOR + STAY_SLACK
}

fn choose_cached(prefix: Prefix, candidates: &[Candidate], pick: u64) -> Option<usize> {
    if candidates.is_empty() {
        return None;
    }
    let bound = stay_bound(candidates);
    let homes = home_count(prefix, candidates);
    let mut rank: Vec<(f64, usize)> = candidates
        .iter()
        .enumerate()
        .map(|(at, it)| (rendezvous_score(prefix.key, it.node, 1.0), at))
        .collect();
    rank.sort_unstable_by(|a, b| b.0.total_cmp(&a.0));
    // Homes take turns; what they cannot take goes down the rank.
    let first = pick as usize % homes;
    let order = (0..homes).map(|it| (first + it) % homes).chain(homes..rank.len());
    let least = least_failing(candidates);
    order.map(|it| rank[it].1).find(|at| candidates[*at].load_with_failures(least) <= bound)
}

/// Returns how many engines share a prefix: as many as its requests fill the
/// room between the mean load and the bound of. Gateways that do not know each
/// other's latest requests then still spread a hot prefix evenly.
fn home_count(prefix: Prefix, candidates: &[Candidate]) -> usize {
    let total: f64 = candidates.iter().map(|it| it.load).sum();
    let mean = total / candidates.len().max(1) as f64;
    let room = (stay_bound(candidates) - mean).max(1.0);
    ((prefix.running / room).ceil() as usize).clamp(1, candidates.len())
}

/// Takes the better one of two endpoints drawn at random: if all gateways took
/// the best one, they would meet there until they heard of each other.
fn choose_idle(candidates: &[Candidate], pick: u64) -> Option<usize> {
    let count = candidates.len();
    if count < 2 {
        return (count == 1).then_some(0);
    }
    let least = least_failing(candidates);
    let first = pick as usize % count;
    let second = (first + 1 + (pick >> 32) as usize % (count - 1)) % count;
    let [a, b] = [first, second].map(|at| candidates[at].cost(least));
    Some(if a <= b { first } else { second })
}

/// Returns the failure rate that all endpoints of the service have.
fn least_failing(candidates: &[Candidate]) -> f64 {
    candidates.iter().map(|it| it.failing).fold(1.0, f64::min)
}
