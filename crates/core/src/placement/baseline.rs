//! Baseline policies to compare the default policy with in benchmarks.

use super::{ChatView, EngineView, Policy, affine::hash_score};
use crate::{endpoints::EndpointId, hash::hash64};

/// Starts at a pseudo-random engine and continues in list order.
#[derive(Debug)]
pub struct Random {
    state: u64,
}

impl Random {
    /// Creates the policy with a fixed seed.
    pub fn new(seed: u64) -> Random {
        Random { state: seed }
    }
}

impl Policy for Random {
    fn rank(&mut self, _: &ChatView, engines: &[EngineView]) -> Vec<EndpointId> {
        self.state = hash64(&self.state.to_le_bytes());
        rotate_ids(engines, self.state as usize)
    }
}

/// Starts each ranking one engine further down the list than the last.
#[derive(Debug)]
pub struct RoundRobin {
    offset: usize,
}

impl RoundRobin {
    /// Creates the policy with a start position derived from `seed`, so that
    /// routers started together do not select engines in lockstep.
    pub fn new(seed: u64) -> RoundRobin {
        RoundRobin { offset: hash64(&seed.to_le_bytes()) as usize >> 1 }
    }
}

impl Policy for RoundRobin {
    fn rank(&mut self, _: &ChatView, engines: &[EngineView]) -> Vec<EndpointId> {
        self.offset += 1;
        rotate_ids(engines, self.offset)
    }
}

/// Ranks engines by reported load, lowest first, and breaks ties at random.
#[derive(Debug)]
pub struct LeastLoad {
    state: u64,
}

impl LeastLoad {
    /// Creates the policy with a fixed seed.
    pub fn new(seed: u64) -> LeastLoad {
        LeastLoad { state: seed }
    }
}

impl Policy for LeastLoad {
    fn rank(&mut self, _: &ChatView, engines: &[EngineView]) -> Vec<EndpointId> {
        self.state = hash64(&self.state.to_le_bytes());
        let salt = self.state;
        let tie_breaker = |it: &EngineView| hash64(&(salt ^ u64::from(it.id.0)).to_le_bytes());
        let mut ranked: Vec<&EngineView> = engines.iter().collect();
        ranked.sort_by_key(|it| (it.reported, tie_breaker(it)));
        ranked.into_iter().map(|it| it.id).collect()
    }
}

/// Ranks engines by rendezvous hashing, without a load bound.
#[derive(Debug)]
pub struct Rendezvous;

impl Policy for Rendezvous {
    fn rank(&mut self, chat: &ChatView, engines: &[EngineView]) -> Vec<EndpointId> {
        let mut ranked: Vec<&EngineView> = engines.iter().collect();
        ranked.sort_by(|a, b| hash_score(chat, b).total_cmp(&hash_score(chat, a)));
        ranked.into_iter().map(|it| it.id).collect()
    }
}

/// Ranks engines by rendezvous hashing, but those whose reported load has
/// reached the bound last.
#[derive(Debug)]
pub struct BoundedReport {
    bound: f64,
}

impl BoundedReport {
    /// Creates the policy with a bound given as a multiple of the mean load.
    pub fn new(bound: f64) -> BoundedReport {
        BoundedReport { bound }
    }
}

impl Policy for BoundedReport {
    fn rank(&mut self, chat: &ChatView, engines: &[EngineView]) -> Vec<EndpointId> {
        let total: u32 = engines.iter().map(|it| it.reported).sum();
        let mean = f64::from(total + 1) / engines.len().max(1) as f64;
        let limit = (self.bound * mean).ceil();
        let is_at_bound = |it: &EngineView| f64::from(it.reported) >= limit;
        let mut ranked: Vec<&EngineView> = engines.iter().collect();
        ranked.sort_by(|a, b| {
            is_at_bound(a)
                .cmp(&is_at_bound(b))
                .then(hash_score(chat, b).total_cmp(&hash_score(chat, a)))
        });
        ranked.into_iter().map(|it| it.id).collect()
    }
}

fn rotate_ids(engines: &[EngineView], offset: usize) -> Vec<EndpointId> {
    let mut ids: Vec<EndpointId> = engines.iter().map(|it| it.id).collect();
    if !ids.is_empty() {
        let offset = offset % ids.len();
        ids.rotate_left(offset);
    }
    ids
}
