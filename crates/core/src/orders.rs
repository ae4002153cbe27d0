//! Orders to engines: the difference between what is and what should be.
//!
//! Orders are levels, not steps. A steward observes an engine, compares, and
//! repeats the order under the same fencing number until it observes the
//! effect, so a lost answer does no harm.

use serde::{Deserialize, Serialize};

use crate::{config::Config, name::Name};

/// What an engine says of the orders it has taken.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// The model that the engine serves or is loading; empty if none.
    pub model: Name,
    /// Version of that model.
    pub version: u32,
    /// Whether the model is still loading.
    pub loading: bool,
    /// Fencing number of the last order taken.
    pub fence: u64,
}

/// An order to load a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the steward's lease.
    pub fence: u64,
    /// The model to serve.
    pub model: Name,
    /// Version of the model.
    pub version: u32,
}

/// Returns the order that `engine` still needs, if any.
pub fn missing_order(
    config: &Config,
    engine: &str,
    state: &EngineState,
    fence: u64,
) -> Option<Order> {
    let role = config.engines.get(engine)?;
    let version = config.models[&role.model].version;
    let serves = state.model == role.model && state.version == version;
    // An order of a newer lease than ours means that we are no longer in charge.
    let superseded = role.fenced && state.fence > fence;
    (!serves && !superseded).then(|| Order { fence, model: role.model.clone(), version })
}
