//! Reconciliation of engines with the configuration.
//!
//! An order states the model that an engine should serve and is idempotent. The
//! steward compares the observed state of an engine with the configuration and
//! repeats the order with the same fencing token until the states match, so lost
//! requests and responses are harmless.

use serde::{Deserialize, Serialize};

use crate::{config::Config, name::Name, time::Millis};

/// Time within which an engine begins a load that it was ordered, in
/// milliseconds.
const LOAD_START_TIMEOUT_MS: u64 = 2_000;

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
/// The store serves one load at a time. A load begins some time after it was
/// ordered, so the next load is ordered only once the engine has reported that
/// the previous one is complete.
#[derive(Debug)]
pub struct LoadPacer {
    mib_per_s: u64,
    /// Start of the time in which loads may be ordered.
    opens_at: Millis,
    /// Whether any engine was loading when the engines were last observed.
    is_loading: bool,
    pending: Option<PendingLoad>,
}

/// A load that was ordered and is not known to be complete.
#[derive(Debug)]
struct PendingLoad {
    engine: Name,
    model: Name,
    version: u32,
    duration_ms: u64,
    /// When the load counts as lost unless the engine reports it before.
    expires_at: Millis,
}

impl PendingLoad {
    /// Returns whether the load is over, given the last state of its engine.
    fn is_over(&self, state: Option<&EngineState>, now: Millis) -> bool {
        let is_complete = state
            .is_some_and(|it| !it.loading && it.model == self.model && it.version == self.version);
        is_complete || now >= self.expires_at
    }
}

impl LoadPacer {
    /// Creates a pacer that allows no load before `opens_at`, since the store may
    /// still be serving loads that an earlier steward ordered.
    pub fn new(mib_per_s: u64, opens_at: Millis) -> LoadPacer {
        LoadPacer { mib_per_s, opens_at, is_loading: false, pending: None }
    }

    /// Records the latest states of all engines that responded.
    pub fn observe(&mut self, states: &[(Name, EngineState)], now: Millis) {
        self.is_loading = states.iter().any(|(_, state)| state.loading);
        let Some(pending) = &mut self.pending else { return };
        let state = states.iter().find(|(name, _)| *name == pending.engine).map(|(_, it)| it);
        if state.is_some_and(|it| it.loading) {
            pending.expires_at = now + pending.duration_ms + LOAD_START_TIMEOUT_MS;
        }
        if pending.is_over(state, now) {
            self.pending = None;
        }
    }

    /// Returns whether `order` may be sent to `engine` now.
    ///
    /// If so, the store counts as busy until the engine reports that it serves the
    /// ordered version. An engine that does not report it in time, for example
    /// because it crashed or the order was lost, frees the store again.
    pub fn try_start(&mut self, engine: &Name, order: &Order, now: Millis) -> bool {
        if now < self.opens_at || self.is_loading || self.pending.is_some() {
            return false;
        }
        let duration_ms = order.weight_mib.saturating_mul(1_000).div_ceil(self.mib_per_s.max(1));
        self.pending = Some(PendingLoad {
            engine: engine.clone(),
            model: order.model.clone(),
            version: order.version,
            duration_ms,
            expires_at: now + duration_ms + LOAD_START_TIMEOUT_MS,
        });
        true
    }
}
