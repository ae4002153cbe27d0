//! Positions in the platform's log.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A position in one topic of the platform's log.
///
/// The era rises each time the store is restored from an older copy. Offsets
/// after the end of that copy are then given out again, so positions are ordered
/// by era first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// Era of the store.
    pub era: u64,
    /// Offset in that era of the first record that has not been read.
    pub offset: u64,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era, self.offset)
    }
}
