//! Endpoints that fail more often than the others of their service.
//!
//! Requests that fail wherever they run say nothing of an endpoint, and chance alone gives
//! each endpoint another failure rate. If gateways that tell each other their failures all
//! preferred the one with the lowest rate, they would overrun it.

use crate::health::Tally;

/// Standard deviations by which each of two failure rates may be off by chance.
const MARGIN: f64 = 0.75;
/// Share of requests for which an endpoint is passed over, as a multiple of its excess.
const AVOIDANCE: f64 = 10.0;
/// Greatest share of requests for which an endpoint is passed over, so that the others show
/// when it has recovered.
const MAX_PASSED_OVER: f64 = 0.95;

/// Returns the share of requests for which each endpoint of a service is passed over since it
/// fails more often than another one.
pub fn passed_over(tallies: &[Tally]) -> Vec<f64> {
    let highest = tallies.iter().map(|it| it.failure_rate() + margin(*it));
    let common = highest.fold(1.0, f64::min);
    let excess = |it: &Tally| (it.failure_rate() - margin(*it) - common).max(0.0);
    tallies.iter().map(|it| (excess(it) * AVOIDANCE).min(MAX_PASSED_OVER)).collect()
}

/// Returns by how much an endpoint's failure rate may be off, given how many requests it is
/// from.
fn margin(tally: Tally) -> f64 {
    let weight = tally.weight();
    let rate = tally.failure_rate().clamp(1.0 / weight, 1.0 - 1.0 / weight);
    MARGIN * (rate * (1.0 - rate) / weight).sqrt()
}
