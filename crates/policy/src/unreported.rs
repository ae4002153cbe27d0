//! Requests that gateways admit without knowing of each other's.
//!
//! A gateway learns of the requests of others some time after they were sent. If all of
//! them filled the room that each believes to be left at the engines, an engine would be
//! sent as many times its room as there are gateways. Each gateway therefore admits only
//! as large a share of its requests as there is room for the requests of all.

/// What has happened at a service since the other gateways reported their requests in
/// flight.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Unreported {
    /// Requests that have arrived at all gateways and are still in flight.
    pub arrived: f64,
    /// Share of the reported requests that are still in flight, from 0 to 1.
    pub remaining_share: f64,
}

impl Unreported {
    /// Estimates the arrivals at all gateways from those at one, `own_per_ms`, if the
    /// `peers` others reported their requests `age_ms` ago.
    pub fn estimate(
        own_per_ms: f64,
        peers: usize,
        age_ms: u64,
        remaining_share: f64,
    ) -> Unreported {
        let lasting_ms = age_ms as f64 * mean_remaining(remaining_share);
        Unreported { arrived: own_per_ms * peers as f64 * lasting_ms, remaining_share }
    }

    /// Returns what concerns `count` of `total` engines, for a request that only these can run.
    pub fn at_some_of(self, count: usize, total: usize) -> Unreported {
        let share = count as f64 / total.max(count).max(1) as f64;
        Unreported { arrived: self.arrived * share, ..self }
    }

    /// Returns the requests that fit an engine of this load and load limit.
    pub fn room(&self, load: f64, limit: f64) -> f64 {
        (limit - load * self.remaining_share).max(0.0)
    }

    /// Returns the share of requests that are admitted if there is room for this many.
    pub fn admitted_share(&self, room: f64) -> f64 {
        if self.arrived <= room { 1.0 } else { room / self.arrived }
    }
}

/// Returns the share that is still in flight of requests that have arrived evenly since the
/// report, if of those before it `remaining_share` are: its mean over the time since.
fn mean_remaining(remaining_share: f64) -> f64 {
    let decay = -remaining_share.max(f64::MIN_POSITIVE).ln();
    if decay < f64::EPSILON { 1.0 } else { (1.0 - remaining_share) / decay }
}
