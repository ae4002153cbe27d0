//! Admission control for engines under overload.
//!
//! Each additional request in an engine's batch slows down the others, and
//! requests beyond its slots wait in a queue. From there on, the more requests
//! are admitted, the fewer finish in time. Requests over the limit are therefore
//! refused at once and are told how long to wait before the next attempt. The
//! limits of different priorities differ by only a few slots, so that no
//! priority is starved.

use mimosaledge_core::hash::hash64;

use crate::settings::PolicySettings;

/// Greatest priority value with a limit of its own; greater values are less
/// urgent and share this limit.
const MAX_PRIORITY: u8 = 3;
/// Shortest and longest delay before a refused request is sent again, as shares
/// of the time until its deadline.
const RETRY_DELAY_RANGE: (f64, f64) = (0.05, 0.28);

/// Whether a request continues an earlier run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// It has not run, or its earlier runs cannot be continued.
    New,
    /// It has run in part, and refusing it would waste that work.
    Started,
}

/// Returns the load at which an engine with `slots` admits no more requests of
/// `priority`; 0 is the most urgent.
pub fn load_limit(settings: &PolicySettings, slots: u32, priority: u8, progress: Progress) -> f64 {
    let reserved = f64::from(priority.min(MAX_PRIORITY)) * settings.priority_slots;
    let limit = (f64::from(slots) * settings.fill_ratio - reserved).max(1.0);
    match progress {
        Progress::New => limit,
        Progress::Started => limit + settings.started_slots,
    }
}

/// Returns the delay after which a refused request should be sent again, in
/// milliseconds.
///
/// The delay is derived from a hash of the attempt's identifier, so that
/// requests refused together are retried spread over the time in which slots
/// become free.
pub fn retry_after_ms(settings: &PolicySettings, remaining_ms: u64, attempt_id: &str) -> u64 {
    let (shortest, longest) = RETRY_DELAY_RANGE;
    if !settings.spread_retries {
        return (remaining_ms as f64 * (shortest + longest) / 2.0) as u64;
    }
    let fraction = (hash64(attempt_id.as_bytes()) >> 11) as f64 / (1u64 << 53) as f64;
    (remaining_ms as f64 * (shortest + (longest - shortest) * fraction)) as u64
}
