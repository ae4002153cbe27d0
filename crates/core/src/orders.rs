//! Orders to engines: the difference between what is and what should be.
//!
//! Orders are levels, not steps. A steward observes an engine, compares, and
//! repeats the order under the same fencing number until it observes the
//! effect, so a lost answer does no harm.

use serde::{Deserialize, Serialize};

use crate::{config::Config, name::Name, time::Millis};

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
    /// Size of the weights in mebibytes.
    pub weight_mib: u64,
}

/// Returns the order that `engine` still needs, if any.
pub fn missing_order(
    config: &Config,
    engine: &str,
    state: &EngineState,
    fence: u64,
) -> Option<Order> {
    let role = config.engines.get(engine)?;
    let model = &config.models[&role.model];
    let serves = state.model == role.model && state.version == model.version;
    // An order of a newer lease than ours means that we are no longer in charge.
    let superseded = role.fenced && state.fence > fence;
    (!serves && !superseded).then(|| Order {
        fence,
        model: role.model.clone(),
        version: model.version,
        weight_mib: model.weight_mib,
    })
}

/// Spaces loads so that the weight store's rate is never passed.
///
/// The store serves one load after another; a load may be ordered once the
/// previous one must have ended.
#[derive(Debug)]
pub struct LoadPacer {
    mib_per_s: u64,
    free_at: Millis,
}

impl LoadPacer {
    /// Creates a pacer that assumes the store busy until `free_at`, with loads
    /// that an earlier steward may have ordered.
    pub fn new(mib_per_s: u64, free_at: Millis) -> LoadPacer {
        LoadPacer { mib_per_s, free_at }
    }

    /// Returns whether a load of `weight_mib` may be ordered now, and books it.
    pub fn try_start(&mut self, weight_mib: u64, now: Millis) -> bool {
        if now < self.free_at {
            return false;
        }
        self.free_at = now + weight_mib.saturating_mul(1_000).div_ceil(self.mib_per_s.max(1));
        true
    }
}
