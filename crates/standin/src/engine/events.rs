//! Events that report changes to the prefix cache.

use std::collections::VecDeque;

use serde::Serialize;
use tokio::time::{Duration, Instant};

/// Delay before an event is published.
const PUBLISH_LAG: Duration = Duration::from_millis(500);
/// One event in this many is dropped, to emulate loss; readers see a gap in the
/// sequence numbers.
const LOSS_INTERVAL: u64 = 16;
/// Maximum number of events retained for readers.
const MAX_RETAINED_EVENTS: usize = 4_096;

/// A change to the prefix cache.
#[derive(Debug, Clone, Copy, Serialize)]
pub(super) struct CacheEvent {
    seq: u64,
    block: u64,
    /// Whether the block was stored; otherwise it was evicted.
    stored: bool,
    #[serde(skip)]
    at: Option<Instant>,
}

/// A change feed of the prefix cache that is delayed and lossy.
#[derive(Debug, Default)]
pub(super) struct CacheEvents {
    seq: u64,
    retained: VecDeque<CacheEvent>,
}

impl CacheEvents {
    pub(super) fn push(&mut self, block: u64, stored: bool) {
        self.seq += 1;
        if self.seq.is_multiple_of(LOSS_INTERVAL) {
            return;
        }
        let at = Some(Instant::now());
        self.retained.push_back(CacheEvent { seq: self.seq, block, stored, at });
        if self.retained.len() > MAX_RETAINED_EVENTS {
            self.retained.pop_front();
        }
    }

    /// Returns the published events with a sequence number above `after`.
    pub(super) fn published_after(&self, after: u64, now: Instant) -> Vec<CacheEvent> {
        let is_due =
            |it: &&CacheEvent| it.at.is_some_and(|at| now.duration_since(at) >= PUBLISH_LAG);
        self.retained.iter().filter(|it| it.seq > after).filter(is_due).copied().collect()
    }
}
