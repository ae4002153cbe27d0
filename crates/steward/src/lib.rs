//! The mimosaledge steward.
//!
//! Several stewards run; the holder of the lease compares each engine's state
//! with the configuration in force and orders what is missing. An order
//! carries the lease's fencing number. The steward stops before its lease
//! ends, by its own monotonic clock, for engines that do not check it.

mod engines;
mod settings;
mod steward;

pub use crate::{settings::Settings, steward::Steward};
