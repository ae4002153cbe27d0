//! Clocks of one process.

use std::time::Duration;

use mimosaledge_core::Millis;
use rustix::time::{ClockId, clock_gettime};

/// A clock that counts the time in which the VM was suspended or the process
/// stood still.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    origin_ms: u64,
}

impl Clock {
    /// Makes a clock that starts at one hour, so that ages can be subtracted.
    pub(crate) fn start() -> Clock {
        let hour = Duration::from_secs(3_600).as_millis() as u64;
        Clock { origin_ms: boot_ms().saturating_sub(hour) }
    }

    /// Reads the clock.
    pub(crate) fn now(&self) -> Millis {
        Millis(boot_ms().saturating_sub(self.origin_ms))
    }
}

fn boot_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}
