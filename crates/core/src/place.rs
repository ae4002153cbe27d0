//! Placement: the order in which a router tries engines for a chat.
//!
//! A [`Policy`] ranks engines. The shipped policy is [`Affine`]; the others
//! are baselines that a setting selects for measurements.

mod affine;
mod baseline;
mod hint;

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

pub use self::{
    affine::Affine,
    baseline::{BoundedReport, LeastLoad, Random, Rendezvous, RoundRobin},
    hint::PlaceHint,
};
use crate::endpoints::EndpointId;

/// An engine as a placement policy sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineView {
    /// The engine.
    pub id: EndpointId,
    /// The engine's incarnation.
    pub incarnation: u32,
    /// Load in the engine's last report.
    pub reported: u32,
    /// Load counted by the engine's admission home.
    pub admitted: u32,
}

/// A chat that needs an engine.
#[derive(Debug, Clone, Copy)]
pub struct ChatView {
    /// Hash of the workspace and chat names.
    pub key: u64,
    /// Where the chat last ran, if its caller says so.
    pub hint: Option<PlaceHint>,
}

/// A rule that ranks engines for a chat.
pub trait Policy: fmt::Debug {
    /// Returns the engines in the order in which to try them.
    fn rank(&mut self, chat: &ChatView, engines: &[EngineView]) -> Vec<EndpointId>;

    /// Returns whether engines admit work through their admission homes.
    fn uses_gates(&self) -> bool {
        false
    }
}

/// The name of a policy in settings.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyName {
    /// The shipped policy.
    #[default]
    Affine,
    /// A uniformly random engine.
    Random,
    /// Engines in turn.
    RoundRobin,
    /// The engine with the least reported load.
    LeastLoad,
    /// Rendezvous hashing without a bound.
    Rendezvous,
    /// Rendezvous hashing with the bound applied to reported load.
    BoundedReport,
}

impl PolicyName {
    /// Makes the policy; `seed` feeds its random choices.
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
