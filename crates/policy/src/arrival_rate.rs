//! The rate at which requests arrive.

use mimosaledge_core::Millis;

/// Time constant of the mean, in milliseconds.
const TIME_CONSTANT_MS: f64 = 1_000.0;

/// Exponentially weighted mean rate of arrivals.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ArrivalRate {
    /// Arrivals until `updated`, of which older ones count less.
    weight: f64,
    updated: Millis,
}

impl ArrivalRate {
    /// Records an arrival.
    pub fn record(&mut self, now: Millis) {
        self.weight = self.weight_at(now) + 1.0;
        self.updated = now;
    }

    /// Returns the arrivals per millisecond.
    pub fn per_ms(&self, now: Millis) -> f64 {
        self.weight_at(now) / TIME_CONSTANT_MS
    }

    fn weight_at(&self, now: Millis) -> f64 {
        self.weight * (-(now.since(self.updated) as f64) / TIME_CONSTANT_MS).exp()
    }
}
