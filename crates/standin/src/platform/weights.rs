//! The weight store of the platform.

use serde::{Deserialize, Serialize};
use tokio::time::{Duration, Instant};

/// Counters of the weight store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightStatistics {
    /// Fetches started.
    pub fetches: u64,
    /// Mebibytes requested.
    pub mib: u64,
    /// Fetches that started while another was in progress.
    pub over_rate: u64,
}

/// A store of model weights that serves fetches sequentially at a fixed rate.
#[derive(Debug)]
pub(super) struct WeightStore {
    mib_per_s: u64,
    busy_until: Option<Instant>,
    statistics: WeightStatistics,
}

impl WeightStore {
    pub(super) fn new(mib_per_s: u64) -> WeightStore {
        WeightStore { mib_per_s, busy_until: None, statistics: WeightStatistics::default() }
    }

    /// Starts a fetch and returns the time until it is complete.
    ///
    /// A fetch that starts while another is in progress exceeds the bandwidth of the
    /// store: it is queued and counted in `over_rate`.
    pub(super) fn fetch(&mut self, mib: u64, now: Instant) -> Duration {
        self.statistics.fetches += 1;
        self.statistics.mib += mib;
        let free_at = self.busy_until.filter(|&at| at > now);
        self.statistics.over_rate += u64::from(free_at.is_some());
        let done_at = free_at.unwrap_or(now)
            + Duration::from_millis(mib.saturating_mul(1_000) / self.mib_per_s.max(1));
        self.busy_until = Some(done_at);
        done_at - now
    }

    pub(super) fn statistics(&self) -> WeightStatistics {
        self.statistics
    }
}
