//! The mimosaledge steward: the controller that reconciles engines with the
//! configuration.
//!
//! Several stewards run; the leader is the one that holds a lease. It compares the
//! state of each engine with the active configuration and, where they differ,
//! orders the engine to load a model. Each order carries the fencing token of the
//! lease. Some engines do not check the token, so a steward also stops sending
//! orders before its lease expires by its own monotonic clock.

mod engines;
mod settings;
mod steward;

pub use crate::{settings::Settings, steward::Steward};
