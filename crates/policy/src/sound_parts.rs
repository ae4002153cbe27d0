//! Prompt parts with which requests have completed lately.

use std::collections::HashSet;

use mimosaledge_core::Millis;

/// Time for which a part is remembered at least, in milliseconds, unless there are too many.
const RETENTION_MS: u64 = 300_000;
/// Maximum number of parts in one generation.
const MAX_PARTS: usize = 8_192;

/// A set of parts in two generations, of which the older one is forgotten as a whole.
#[derive(Debug, Default)]
pub(crate) struct SoundParts {
    newer: HashSet<u64>,
    older: HashSet<u64>,
    began: Millis,
}

impl SoundParts {
    /// Adds a part.
    pub(crate) fn insert(&mut self, part: u64, now: Millis) {
        if now.since(self.began) >= RETENTION_MS || self.newer.len() >= MAX_PARTS {
            self.older = std::mem::take(&mut self.newer);
            self.began = now;
        }
        self.newer.insert(part);
    }

    /// Returns whether a part was added lately.
    pub(crate) fn contains(&self, part: u64) -> bool {
        self.newer.contains(&part) || self.older.contains(&part)
    }
}
