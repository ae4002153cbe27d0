//! Responses of an endpoint that broke off, or were not its own.
//!
//! They say more of an endpoint than an error that it returns: such errors follow the request to
//! any endpoint. A single one is reason enough to prefer another endpoint for some seconds.

use mimosaledge_core::Millis;

/// Time in which the weight of a broken response halves, in milliseconds.
const HALF_LIFE_MS: f64 = 1_500.0;
/// Share of requests that an endpoint keeps for each broken response.
const KEPT_SHARE: f64 = 0.2;

/// Broken responses of one endpoint, of which older ones count less.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct BrokenResponses {
    weight: f64,
    updated: Millis,
}

impl BrokenResponses {
    /// Records a broken response.
    pub fn record(&mut self, now: Millis) {
        self.weight = self.weight_at(now) + 1.0;
        self.updated = now;
    }

    fn weight_at(&self, now: Millis) -> f64 {
        self.weight * 0.5f64.powf(now.since(self.updated) as f64 / HALF_LIFE_MS)
    }
}

/// Returns the share of requests for which each endpoint of a service is passed over since it
/// broke off more responses than another one.
pub fn passed_over(endpoints: &[BrokenResponses], now: Millis) -> Vec<f64> {
    let weights: Vec<f64> = endpoints.iter().map(|it| it.weight_at(now)).collect();
    let least = weights.iter().copied().fold(f64::MAX, f64::min);
    weights.iter().map(|it| 1.0 - KEPT_SHARE.powf(it - least)).collect()
}
