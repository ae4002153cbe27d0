//! Placement of requests on endpoints.
//!
//! Requests that share a prompt prefix go to the engine that has it cached, by
//! rendezvous hashing with bounded loads: every gateway computes the same order
//! of engines for a prefix, and chooses the first one whose load is within the
//! bound. A prefix with many running requests is replicated to as many of the
//! first engines in this order as the requests need, and is served by the first
//! one alone again when they become fewer. Requests without such a prefix, and
//! those for which no engine is within the bound, go to the better of two
//! randomly chosen endpoints, of which one that has refused requests lately is passed
//! over as often as it has refused.

use mimosaledge_core::hash::{hash64, rendezvous_score};

use crate::{settings::PolicySettings, slowness::Slowness, unreported::Unreported};

/// Distinguishes the random number that admits a request from those that choose the endpoint.
const ADMISSION_SALT: u64 = 0x61646d69;

/// An endpoint that may be chosen for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Hash that identifies the endpoint, the same at every gateway.
    pub node: u64,
    /// Requests that it runs or has queued, as far as known.
    pub load: f64,
    /// Whether it is in the gateway's own data centre.
    pub is_local: bool,
    /// Share of its latest requests that failed, from 0 to 1.
    pub failure_rate: f64,
    /// Share of its latest requests that it refused, from 0 to 1.
    pub refusal_rate: f64,
    /// Time that work takes there just now, relative to the usual time.
    pub slowness: Slowness,
}

impl Candidate {
    fn cost(&self, settings: &PolicySettings, min_failure_rate: f64) -> f64 {
        let distance = if self.is_local { 0.0 } else { settings.remote_cost };
        let delay = (self.load + 1.0) * (self.slowness.multiple() - 1.0);
        self.effective_load(settings, min_failure_rate) + delay + distance
    }

    fn effective_load(&self, settings: &PolicySettings, min_failure_rate: f64) -> f64 {
        self.load + settings.failure_cost * (self.failure_rate - min_failure_rate)
    }

    /// Returns whether the endpoint is assumed to be full, which is true for as large
    /// a share of random numbers as the share of requests that it has refused.
    fn is_assumed_full(&self, settings: &PolicySettings, random: u64) -> bool {
        if !settings.avoid_refusals {
            return false;
        }
        to_unit(random ^ self.node) < self.refusal_rate
    }
}

/// A prompt prefix that several requests share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Prefix {
    /// Hash that identifies the prefix.
    pub key: u64,
    /// Requests with this prefix that run on all endpoints, as far as known.
    pub running: f64,
}

/// Where a request is placed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Placement {
    /// At one of the candidates.
    Candidate {
        /// Its index.
        index: usize,
        /// Number of candidates below their load limit.
        admitting: usize,
    },
    /// Nowhere: the candidates have no room for it.
    Overloaded {
        /// Load of the least loaded one.
        least_load: f64,
        /// Share of such requests for which there is room.
        share: f64,
    },
    /// Nowhere: there is no candidate.
    NoCandidate,
}

/// Limit of an engine's load, and what is known of requests that count towards it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadLimit {
    /// Load at which an engine admits no more requests.
    pub limit: f64,
    /// What its load does not include yet.
    pub unreported: Unreported,
}

/// Places a request at one of `candidates` whose load is below the limit, if they have one.
///
/// If the requests of all gateways do not fit there, only a share of them is placed.
/// `prefix` and `random` are as for [`choose`].
pub fn place(
    settings: &PolicySettings,
    limit: Option<LoadLimit>,
    prefix: Option<Prefix>,
    candidates: &[Candidate],
    random: u64,
) -> Placement {
    let admitting: Vec<usize> = match limit {
        Some(it) => (0..candidates.len()).filter(|at| candidates[*at].load < it.limit).collect(),
        None => (0..candidates.len()).collect(),
    };
    let mut below: Vec<Candidate> = admitting.iter().map(|it| candidates[*it]).collect();
    let share = limit.map_or(1.0, |it| share_room(&it, &mut below));
    let is_admitted = to_unit(random ^ ADMISSION_SALT) < share;
    match choose(settings, prefix, &below, random).filter(|_| is_admitted) {
        Some(index) => Placement::Candidate { index: admitting[index], admitting: admitting.len() },
        None if candidates.is_empty() => Placement::NoCandidate,
        None => Placement::Overloaded {
            least_load: candidates.iter().map(|it| it.load).fold(f64::MAX, f64::min),
            share,
        },
    }
}

/// Returns the share of requests for which engines below the limit have room; sets how often
/// one is passed over since it has less room than the others.
fn share_room(limit: &LoadLimit, below: &mut [Candidate]) -> f64 {
    let unreported = limit.unreported;
    let rooms: Vec<f64> = below.iter().map(|it| unreported.room(it.load, limit.limit)).collect();
    let share = unreported.admitted_share(rooms.iter().sum());
    let mean_arrivals = unreported.arrived * share / below.len() as f64;
    for (candidate, room) in below.iter_mut().zip(rooms) {
        if room < mean_arrivals {
            candidate.refusal_rate = candidate.refusal_rate.max(1.0 - room / mean_arrivals);
        }
    }
    share
}

/// Chooses the endpoint for a request; returns its index in `candidates`.
///
/// `prefix` is the prompt prefix, if the request has one that engines cache;
/// `random` is a random number that spreads requests and breaks ties.
pub fn choose(
    settings: &PolicySettings,
    prefix: Option<Prefix>,
    candidates: &[Candidate],
    random: u64,
) -> Option<usize> {
    prefix
        .filter(|_| settings.prefix_affinity)
        .and_then(|prefix| choose_by_prefix(settings, prefix, candidates, random))
        .or_else(|| choose_of_two(settings, candidates, random))
}

/// Returns the endpoints in the order in which they are chosen for a prompt prefix while none
/// is over its load bound.
pub fn rank(prefix: u64, nodes: impl Iterator<Item = u64>) -> Vec<u64> {
    let score = |node| rendezvous_score(prefix, node, 1.0);
    let mut scored: Vec<(f64, u64)> = nodes.map(|it| (score(it), it)).collect();
    scored.sort_unstable_by(|a, b| b.0.total_cmp(&a.0));
    scored.into_iter().map(|(_, node)| node).collect()
}

/// Returns the load up to which an engine is chosen for its cached prefix.
pub fn load_bound(settings: &PolicySettings, candidates: &[Candidate]) -> f64 {
    let total: f64 = candidates.iter().map(|it| it.load).sum();
    let mean = total / candidates.len().max(1) as f64;
    mean * settings.load_bound + settings.bound_slack
}

fn choose_by_prefix(
    settings: &PolicySettings,
    prefix: Prefix,
    candidates: &[Candidate],
    random: u64,
) -> Option<usize> {
    if candidates.is_empty() {
        return None;
    }
    let bound = load_bound(settings, candidates);
    let replicas =
        if settings.hot_replicas { replica_count(settings, prefix, candidates) } else { 1 };
    let mut ranked: Vec<(f64, usize)> = candidates
        .iter()
        .enumerate()
        .map(|(at, it)| (rendezvous_score(prefix.key, it.node, 1.0), at))
        .collect();
    ranked.sort_unstable_by(|a, b| b.0.total_cmp(&a.0));
    // The random number selects the replica to try first. The engines ranked
    // after the replicas are tried only if all replicas exceed the bound.
    let first = random as usize % replicas;
    let order = (0..replicas).map(|it| (first + it) % replicas).chain(replicas..ranked.len());
    let min_rate = min_failure_rate(candidates);
    let is_suitable = |it: &Candidate| {
        it.effective_load(settings, min_rate) <= bound && !it.is_assumed_full(settings, random)
    };
    order.map(|it| ranked[it].1).find(|at| is_suitable(&candidates[*at]))
}

/// Returns the number of engines to which a prefix is replicated: enough for its
/// running requests to fit between the mean load and the load bound of each.
///
/// Gateways that do not know each other's latest requests then still spread a
/// hot prefix evenly.
fn replica_count(settings: &PolicySettings, prefix: Prefix, candidates: &[Candidate]) -> usize {
    let total: f64 = candidates.iter().map(|it| it.load).sum();
    let mean = total / candidates.len().max(1) as f64;
    let headroom = (load_bound(settings, candidates) - mean).max(1.0);
    ((prefix.running / headroom).ceil() as usize).clamp(1, candidates.len())
}

/// Chooses the better of two randomly chosen endpoints ("power of two choices").
///
/// If all gateways chose the least loaded one, they would overload it until they
/// learned of each other's requests. For the same reason an endpoint that refuses
/// requests is not avoided by all of them, but only as often as it refuses.
fn choose_of_two(
    settings: &PolicySettings,
    candidates: &[Candidate],
    random: u64,
) -> Option<usize> {
    let count = candidates.len();
    if count < 2 {
        return (count == 1).then_some(0);
    }
    let min_rate = min_failure_rate(candidates);
    let first = random as usize % count;
    let second = (first + 1 + (random >> 32) as usize % (count - 1)) % count;
    let [a, b] = [first, second].map(|at| candidates[at]);
    let prefers_first = match [a, b].map(|it| it.is_assumed_full(settings, random)) {
        [true, false] => false,
        [false, true] => true,
        _ => a.cost(settings, min_rate) <= b.cost(settings, min_rate),
    };
    Some(if prefers_first { first } else { second })
}

/// Returns the lowest failure rate of all candidates.
///
/// Failures up to this rate are common to all of them and do not count against
/// any single one.
fn min_failure_rate(candidates: &[Candidate]) -> f64 {
    candidates.iter().map(|it| it.failure_rate).fold(1.0, f64::min)
}

/// Returns a number from 0 to 1 that is uniform over values of `random`.
pub(crate) fn to_unit(random: u64) -> f64 {
    (hash64(&random.to_le_bytes()) >> 11) as f64 / (1u64 << 53) as f64
}
