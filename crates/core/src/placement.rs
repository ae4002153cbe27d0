//! Placement policies, which rank the engines that a router tries for a chat.
//!
//! The default [`Policy`] is [`Affine`]. The others are baselines for
//! benchmarks and are selected by a setting.

mod affine;
mod baseline;
mod hint;

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

pub use self::{
    affine::Affine,
    baseline::{BoundedReport, LeastLoad, Random, Rendezvous, RoundRobin},
    hint::PlacementHint,
};
use crate::endpoints::EndpointId;

/// The properties of an engine that placement policies use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineView {
    /// The engine.
    pub id: EndpointId,
    /// The engine's incarnation.
    pub incarnation: u32,
    /// Load according to the engine's latest report.
    pub reported: u32,
    /// Load according to the engine's admission home.
    pub admitted: u32,
}

/// The properties of a chat that placement policies use.
#[derive(Debug, Clone, Copy)]
pub struct ChatView {
    /// Hash of the workspace and chat names.
    pub key: u64,
    /// Engine of the chat's previous request, if the client sent a hint.
    pub hint: Option<PlacementHint>,
}

/// Ranks engines for a chat.
pub trait Policy: fmt::Debug {
    /// Returns the engines in the order in which to try them.
    fn rank(&mut self, chat: &ChatView, engines: &[EngineView]) -> Vec<EndpointId>;

    /// Returns whether requests need a grant from the engine's admission home.
    fn uses_admission(&self) -> bool {
        false
    }
}

/// Selects a policy in the settings.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyName {
    /// [`Affine`], the default.
    #[default]
    Affine,
    /// [`Random`].
    Random,
    /// [`RoundRobin`].
    RoundRobin,
    /// [`LeastLoad`].
    LeastLoad,
    /// [`Rendezvous`].
    Rendezvous,
    /// [`BoundedReport`].
    BoundedReport,
}

impl PolicyName {
    /// Creates the policy.
    ///
    /// `seed` seeds policies that make random choices. `bound` is the maximum
    /// load as a multiple of the mean, for [`BoundedReport`].
    pub fn build(self, seed: u64, bound: f64) -> Box<dyn Policy> {
        match self {
            PolicyName::Affine => Box::new(Affine),
            PolicyName::Random => Box::new(Random::new(seed)),
            PolicyName::RoundRobin => Box::new(RoundRobin::new(seed)),
            PolicyName::LeastLoad => Box::new(LeastLoad::new(seed)),
            PolicyName::Rendezvous => Box::new(Rendezvous),
            PolicyName::BoundedReport => Box::new(BoundedReport::new(bound)),
        }
    }
}

impl FromStr for PolicyName {
    type Err = String;

    fn from_str(text: &str) -> Result<PolicyName, String> {
        serde_json::from_value(text.into()).map_err(|_| format!("unknown policy {text}"))
    }
}
