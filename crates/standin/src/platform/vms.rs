use mimosaledge_net::Vm;
use tokio::time::{Duration, Instant};

/// A list of VMs that shows each change only after a lag.
#[derive(Debug)]
pub(super) struct LaggingList {
    version: u64,
    shown: Vec<Vm>,
    pending: Vec<(Instant, Vec<Vm>)>,
    lag: Duration,
}

impl LaggingList {
    pub(super) fn new(vms: Vec<Vm>, lag_ms: u64) -> LaggingList {
        LaggingList {
            version: 0,
            shown: vms,
            pending: Vec::new(),
            lag: Duration::from_millis(lag_ms),
        }
    }

    pub(super) fn set(&mut self, vms: Option<Vec<Vm>>, lag_ms: Option<u64>, now: Instant) {
        self.lag = lag_ms.map_or(self.lag, Duration::from_millis);
        if let Some(vms) = vms {
            self.pending.push((now + self.lag, vms));
        }
    }

    /// Returns the list that callers see, and the number of its version.
    pub(super) fn shown(&mut self, now: Instant) -> (u64, &[Vm]) {
        let due = self.pending.iter().take_while(|(at, _)| *at <= now).count();
        if let Some((_, vms)) = self.pending.drain(..due).next_back() {
            self.shown = vms;
            self.version += 1;
        }
        (self.version, &self.shown)
    }
}
