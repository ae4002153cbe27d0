//! Monotonic timestamps.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// A timestamp in milliseconds since the start of the process, on a monotonic
/// clock.
///
/// Timestamps of different processes are not comparable.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Millis(pub u64);

impl Millis {
    /// Returns the milliseconds elapsed since `earlier`, or zero if `earlier` is
    /// later.
    pub fn since(self, earlier: Millis) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<u64> for Millis {
    type Output = Millis;

    fn add(self, ms: u64) -> Millis {
        Millis(self.0.saturating_add(ms))
    }
}

impl Sub<u64> for Millis {
    type Output = Millis;

    fn sub(self, ms: u64) -> Millis {
        Millis(self.0.saturating_sub(ms))
    }
}
