//! Admission to engines in a surge of all kinds of request.
//!
//! An engine that runs more requests makes each of them slower, and one that
//! is full lets the others wait. Past that point more requests mean fewer that
//! end in time, so that what does not fit is refused at once and told when to
//! come back. All kinds of request are refused alike but for a small lead of
//! the more urgent ones, so that none is starved.

use mimosaledge_core::hash::hash64;

/// Share of an engine's slots that is filled, so that requests which gateways
/// do not know of yet find room.
const FILL: f64 = 0.94;
/// Slots kept for each step of urgency.
const SLOTS_PER_RANK: f64 = 1.0;
/// Ranks that differ; all later ones count as the last.
const MAX_RANK: u8 = 3;
/// Slots beyond the limit for requests that have already run in part.
const RESUMED_SLOTS: f64 = 8.0;
/// Shortest and longest time to come back, as shares of the time left.
const RETURN_SHARES: (f64, f64) = (0.05, 0.28);

/// How far a request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// It was not sent to any engine.
    New,
    /// It ran in part, which would be lost if it were refused.
    Started,
}

/// Returns the load from which an engine with `slots` gets no more requests of
/// a rank; rank 0 is the most urgent.
pub fn load_limit(slots: u32, rank: u8, progress: Progress) -> f64 {
    let kept = f64::from(rank.min(MAX_RANK)) * SLOTS_PER_RANK;
    let limit = (f64::from(slots) * FILL - kept).max(1.0);
    match progress {
        Progress::New => limit,
        Progress::Started => limit + RESUMED_SLOTS,
    }
}

/// Returns when a refused request should come back, in milliseconds. Requests
/// refused together return spread over the time in which room appears.
pub fn return_ms(left_ms: u64, attempt: &str) -> u64 {
    let (shortest, longest) = RETURN_SHARES;
    let draw = (hash64(attempt.as_bytes()) >> 11) as f64 / (1u64 << 53) as f64;
    (left_ms as f64 * (shortest + (longest - shortest) * draw)) as u64
}
