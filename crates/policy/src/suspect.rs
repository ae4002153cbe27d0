//! A part that was in prompts during crashes.

use std::collections::HashSet;

use mimosaledge_core::Millis;

use crate::{crash::Crash, crash_evidence::Evidence};

/// Maximum number of crashes that are kept for one suspect, the latest.
const MAX_CRASHES: usize = 64;

/// The crashes that one part has met.
#[derive(Debug)]
pub(crate) struct Suspect {
    /// Number of parts before it in the prompt.
    pub(crate) depth: u8,
    /// Its crashes, oldest first.
    crashes: Vec<Crash>,
}

impl Suspect {
    /// Creates a suspect that has met no crash yet.
    pub(crate) fn new(depth: u8) -> Suspect {
        Suspect { depth, crashes: Vec::new() }
    }

    /// Returns the number of its crashes.
    pub(crate) fn count(&self) -> usize {
        self.crashes.len()
    }

    /// Returns what identifies its crashes.
    pub(crate) fn crash_ids(&self) -> impl Iterator<Item = u64> {
        self.crashes.iter().map(|it| it.id)
    }

    /// Returns the time of its last crash.
    pub(crate) fn last_crash(&self) -> Millis {
        self.crashes.last().map_or(Millis::default(), |it| it.at)
    }

    /// Weighs the crashes that count and are not among `explained`.
    pub(crate) fn weigh(&self, explained: &HashSet<u64>) -> Evidence {
        Evidence::of(self.crashes.iter().filter(|it| it.counts && !explained.contains(&it.id)))
    }

    /// Adds a crash, or learns that its engine had begun to respond; returns whether that was
    /// not known.
    pub(crate) fn record(&mut self, crash: Crash) -> bool {
        if let Some(known) = self.crashes.iter_mut().find(|it| it.id == crash.id) {
            let is_news = known.stage < crash.stage;
            known.stage = known.stage.max(crash.stage);
            return is_news;
        }
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.remove(0);
        }
        let index = self.crashes.partition_point(|it| it.at <= crash.at);
        self.crashes.insert(index, crash);
        true
    }

    /// Lets no crash so far count any more; returns whether one did.
    pub(crate) fn clear(&mut self) -> bool {
        let counted = self.crashes.iter().any(|it| it.counts);
        self.crashes.iter_mut().for_each(|it| it.counts = false);
        counted
    }
}
