//! Reconciliation of engines with the configuration.
//!
//! An order states the model that an engine should serve and is idempotent. The
//! steward compares the observed state of an engine with the configuration and
//! repeats the order with the same fencing token until the states match, so lost
//! requests and responses are harmless.

use serde::{Deserialize, Serialize};

use crate::{config::Config, name::Name, time::Millis};

/// The state that an engine reports to the steward.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// The model that the engine serves or is loading; empty if none.
    pub model: Name,
    /// Version of that model.
    pub version: u32,
    /// Whether the model is still loading.
    pub loading: bool,
    /// Fencing token of the last accepted order.
    #[serde(rename = "fence")]
    pub fencing_token: u64,
}

/// An order to load a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token of the steward's lease.
    #[serde(rename = "fence")]
    pub fencing_token: u64,
    /// The model to serve.
    pub model: Name,
    /// Version of the model.
    pub version: u32,
    /// Size of the weights in mebibytes.
    pub weight_mib: u64,
}

/// Returns the order that brings `engine` in line with the configuration, or
/// `None` if it needs none.
///
/// It also returns `None` for a fenced engine that has accepted an order with a
/// higher fencing token than `fencing_token`, since a newer lease is in effect.
pub fn required_order(
    config: &Config,
    engine: &str,
    state: &EngineState,
    fencing_token: u64,
) -> Option<Order> {
    let assignment = config.engines.get(engine)?;
    let model = &config.models[&assignment.model];
    let is_served = state.model == assignment.model && state.version == model.version;
    let superseded = assignment.fenced && state.fencing_token > fencing_token;
    (!is_served && !superseded).then(|| Order {
        fencing_token,
        model: assignment.model.clone(),
        version: model.version,
        weight_mib: model.weight_mib,
    })
}

/// Limits the rate of model loads to that of the weight store.
///
/// The store serves one load at a time, so the next load may be ordered once the
/// previous one should be complete at the store's rate.
#[derive(Debug)]
pub struct LoadPacer {
    mib_per_s: u64,
    busy_until: Millis,
}

impl LoadPacer {
    /// Creates a pacer that allows no load before `busy_until`, since the store may
    /// still be serving loads that an earlier steward ordered.
    pub fn new(mib_per_s: u64, busy_until: Millis) -> LoadPacer {
        LoadPacer { mib_per_s, busy_until }
    }

    /// Returns whether a load of `weight_mib` may be ordered now.
    ///
    /// If so, the store counts as busy for the duration of the load.
    pub fn try_start(&mut self, weight_mib: u64, now: Millis) -> bool {
        if now < self.busy_until {
            return false;
        }
        self.busy_until = now + weight_mib.saturating_mul(1_000).div_ceil(self.mib_per_s.max(1));
        true
    }
}
