use std::collections::VecDeque;

use serde::Serialize;
use tokio::time::{Duration, Instant};

/// Lag with which events are published.
const LAG: Duration = Duration::from_millis(500);
/// One event in this many is lost, which leaves a gap in the numbers.
const LOST_EVERY: u64 = 16;
/// Events kept for readers.
const KEPT: usize = 4_096;

/// A change to the prefix cache.
#[derive(Debug, Clone, Copy, Serialize)]
pub(super) struct CacheEvent {
    seq: u64,
    block: u64,
    stored: bool,
    #[serde(skip)]
    at: Option<Instant>,
}

/// Cache events, published late and with gaps.
#[derive(Debug, Default)]
pub(super) struct CacheEvents {
    seq: u64,
    kept: VecDeque<CacheEvent>,
}

impl CacheEvents {
    pub(super) fn push(&mut self, block: u64, stored: bool) {
        self.seq += 1;
        if self.seq.is_multiple_of(LOST_EVERY) {
            return;
        }
        let at = Some(Instant::now());
        self.kept.push_back(CacheEvent { seq: self.seq, block, stored, at });
        if self.kept.len() > KEPT {
            self.kept.pop_front();
        }
    }

    pub(super) fn shown(&self, after: u64, now: Instant) -> Vec<CacheEvent> {
        let due = |it: &&CacheEvent| it.at.is_some_and(|at| now.duration_since(at) >= LAG);
        self.kept.iter().filter(|it| it.seq > after).filter(due).copied().collect()
    }
}
