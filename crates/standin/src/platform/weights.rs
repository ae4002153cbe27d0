use serde::{Deserialize, Serialize};
use tokio::time::{Duration, Instant};

/// What the weight store has served.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightStatistics {
    /// Fetches begun.
    pub fetches: u64,
    /// Mebibytes asked for.
    pub mib: u64,
    /// Fetches begun while another was under way.
    pub over_rate: u64,
}

/// A store of model weights that serves one fetch after another at its rate.
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

    /// Starts a fetch and returns how long it takes. A fetch that starts while
    /// another is under way goes over the store's rate and is counted.
    pub(super) fn fetch(&mut self, mib: u64, now: Instant) -> Duration {
        self.statistics.fetches += 1;
        self.statistics.mib += mib;
        let free_at = self.busy_until.filter(|&at| at > now);
        self.statistics.over_rate += u64::from(free_at.is_some());
        let done = free_at.unwrap_or(now)
            + Duration::from_millis(mib.saturating_mul(1_000) / self.mib_per_s.max(1));
        self.busy_until = Some(done);
        done - now
    }

    pub(super) fn statistics(&self) -> WeightStatistics {
        self.statistics
    }
}
