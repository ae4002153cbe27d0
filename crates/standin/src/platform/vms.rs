//! The eventually consistent VM list of the platform.

use mimosaledge_net::Vm;
use tokio::time::{Duration, Instant};

/// A VM list in which each change becomes visible only after a delay.
#[derive(Debug)]
pub(super) struct LaggingVmList {
    version: u64,
    visible: Vec<Vm>,
    pending: Vec<(Instant, Vec<Vm>)>,
    lag: Duration,
}

impl LaggingVmList {
    pub(super) fn new(vms: Vec<Vm>, lag_ms: u64) -> LaggingVmList {
        LaggingVmList {
            version: 0,
            visible: vms,
            pending: Vec::new(),
            lag: Duration::from_millis(lag_ms),
        }
    }

    pub(super) fn update(&mut self, vms: Option<Vec<Vm>>, lag_ms: Option<u64>, now: Instant) {
        self.lag = lag_ms.map_or(self.lag, Duration::from_millis);
        if let Some(vms) = vms {
            self.pending.push((now + self.lag, vms));
        }
    }

    /// Returns the visible list and its version.
    pub(super) fn visible(&mut self, now: Instant) -> (u64, &[Vm]) {
        let due = self.pending.iter().take_while(|(at, _)| *at <= now).count();
        if let Some((_, vms)) = self.pending.drain(..due).next_back() {
            self.visible = vms;
            self.version += 1;
        }
        (self.version, &self.visible)
    }
}
