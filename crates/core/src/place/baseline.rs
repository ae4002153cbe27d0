//! Baselines that measurements compare the shipped policy with.

use super::{ChatView, EngineView, Policy, affine::score};
use crate::{endpoints::EndpointId, hash::hash64};

/// A uniformly random engine.
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
        rotate(engines, self.state as usize)
    }
}

/// Engines in turn.
#[derive(Debug)]
pub struct RoundRobin {
    turn: usize,
}

impl RoundRobin {
    /// Creates the policy; the seed sets the first engine, so that routers
    /// started together do not move in step.
    pub fn new(seed: u64) -> RoundRobin {
        RoundRobin { turn: hash64(&seed.to_le_bytes()) as usize >> 1 }
    }
}

impl Policy for RoundRobin {
    fn rank(&mut self, _: &ChatView, engines: &[EngineView]) -> Vec<EndpointId> {
        self.turn += 1;
        rotate(engines, self.turn)
    }
}

/// The engine with the least reported load; ties are broken at random.
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
        let tie = |it: &EngineView| hash64(&(salt ^ u64::from(it.id.0)).to_le_bytes());
        let mut ranked: Vec<&EngineView> = engines.iter().collect();
        ranked.sort_by_key(|it| (it.reported, tie(it)));
        ranked.into_iter().map(|it| it.id).collect()
    }
}

/// Rendezvous hashing without a bound.
#[derive(Debug)]
pub struct Rendezvous;

impl Policy for Rendezvous {
    fn rank(&mut self, chat: &ChatView, engines: &[EngineView]) -> Vec<EndpointId> {
        let mut ranked: Vec<&EngineView> = engines.iter().collect();
        ranked.sort_by(|a, b| score(chat, b).total_cmp(&score(chat, a)));
        ranked.into_iter().map(|it| it.id).collect()
    }
}

/// Rendezvous hashing that passes over engines whose reported load is above
/// the bound.
#[derive(Debug)]
pub struct BoundedReport {
    bound: f64,
}

impl BoundedReport {
    /// Creates the policy for a bound that is a multiple of the mean load.
    pub fn new(bound: f64) -> BoundedReport {
        BoundedReport { bound }
    }
}

impl Policy for BoundedReport {
    fn rank(&mut self, chat: &ChatView, engines: &[EngineView]) -> Vec<EndpointId> {
        let total: u32 = engines.iter().map(|it| it.reported).sum();
        let mean = f64::from(total + 1) / engines.len().max(1) as f64;
        let limit = (self.bound * mean).ceil();
        let full = |it: &EngineView| f64::from(it.reported) >= limit;
        let mut ranked: Vec<&EngineView> = engines.iter().collect();
        ranked
            .sort_by(|a, b| full(a).cmp(&full(b)).then(score(chat, b).total_cmp(&score(chat, a))));
        ranked.into_iter().map(|it| it.id).collect()
    }
}

fn rotate(engines: &[EngineView], by: usize) -> Vec<EndpointId> {
    let mut ids: Vec<EndpointId> = engines.iter().map(|it| it.id).collect();
    if !ids.is_empty() {
        let by = by % ids.len();
        ids.rotate_left(by);
    }
    ids
}
