//! What the crashes that a suspect has met say.

use mimosaledge_core::Millis;

use crate::{
    crash::Crash,
    crash_stage::{CrashStage, WEIGHT_LIMIT},
};

/// Crashes that follow each other by less count once, in milliseconds, since engines that
/// crash together have a common cause.
pub const MIN_GAP_MS: u64 = 100;
/// Maximum number of times that the quarantine of a culprit is doubled.
pub(crate) const MAX_DOUBLINGS: usize = 5;

/// What the crashes of a suspect say.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Evidence {
    pub(crate) weight: usize,
    /// Weight of the crashes of engines that had begun to respond.
    responding: usize,
    /// Number of requests that had completed before the first of the crashes.
    pub(crate) completions: u64,
}

impl Evidence {
    /// Weighs crashes, oldest first; of those that follow each other closely, the first.
    pub(crate) fn of<'a>(crashes: impl Iterator<Item = &'a Crash>) -> Evidence {
        let mut evidence = Evidence::default();
        let mut last_counted: Option<Millis> = None;
        for crash in crashes {
            if last_counted.is_some_and(|at| crash.at.since(at) < MIN_GAP_MS) {
                continue;
            }
            if last_counted.is_none() {
                evidence.completions = crash.completions;
            }
            last_counted = Some(crash.at);
            evidence.weight += crash.stage.weight();
            if crash.stage == CrashStage::Responding {
                evidence.responding += crash.stage.weight();
            }
        }
        evidence
    }

    /// Returns how often the quarantine is doubled.
    pub(crate) fn doublings(&self) -> usize {
        let beyond = self.weight - WEIGHT_LIMIT;
        (beyond / CrashStage::Responding.weight()).min(MAX_DOUBLINGS)
    }

    /// Returns whether the crashes of engines that had begun to respond are enough.
    pub(crate) fn is_direct(&self) -> bool {
        self.responding >= WEIGHT_LIMIT
    }
}
