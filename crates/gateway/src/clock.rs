//! Monotonic clock of the process.

use std::time::Duration;

use mimosaledge_core::Millis;
use rustix::time::{ClockId, clock_gettime};

/// A monotonic clock that also advances while the VM is suspended or the
/// process is stopped.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    origin_ms: u64,
}

impl Clock {
    /// Creates a clock that starts at one hour, so that an age can be
    /// subtracted from its time without saturating at zero.
    pub(crate) fn start() -> Clock {
        let hour = Duration::from_secs(3_600).as_millis() as u64;
        Clock { origin_ms: boot_ms().saturating_sub(hour) }
    }

    /// Returns the current time.
    pub(crate) fn now(&self) -> Millis {
        Millis(boot_ms().saturating_sub(self.origin_ms))
    }
}

fn boot_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}
