//! Prompt parts with which requests have completed lately.

use std::collections::HashMap;

use mimosaledge_core::Millis;

/// Time for which a part is remembered at least, in milliseconds, unless there are too many.
const RETENTION_MS: u64 = 300_000;
/// Maximum number of parts in one generation.
const MAX_PARTS: usize = 8_192;

/// A set of parts, with the time of their last completion, in two generations, of which the
/// older one is forgotten as a whole.
#[derive(Debug, Default)]
pub(crate) struct SoundParts {
    newer: HashMap<u64, Millis>,
    older: HashMap<u64, Millis>,
    began: Millis,
}

impl SoundParts {
    /// Adds a part.
    pub(crate) fn insert(&mut self, part: u64, now: Millis) {
        if now.since(self.began) >= RETENTION_MS || self.newer.len() >= MAX_PARTS {
            self.older = std::mem::take(&mut self.newer);
            self.began = now;
        }
        self.newer.insert(part, now);
    }

    /// Returns whether a part was added lately.
    pub(crate) fn contains(&self, part: u64) -> bool {
        self.last(part).is_some()
    }

    /// Returns whether a part was added less than `ms` before `at`, or since.
    pub(crate) fn contains_since(&self, part: u64, at: Millis, ms: u64) -> bool {
        self.last(part).is_some_and(|it| at.since(it) < ms)
    }

    fn last(&self, part: u64) -> Option<Millis> {
        self.newer.get(&part).or_else(|| self.older.get(&part)).copied()
    }
}
