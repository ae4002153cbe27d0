//! Endpoints that fail more often than the others of their service.
//!
//! Requests that fail wherever they run say nothing of an endpoint, and chance alone gives
//! each endpoint another failure rate. If gateways that tell each other their failures all
//! preferred the one with the lowest rate, they would overrun it.

use crate::health::Tally;

/// Standard deviations by which a failure rate may exceed that of the other endpoints by
/// chance.
const MARGIN: f64 = 2.0;
/// Share of requests for which an endpoint is passed over, as a multiple of its excess.
const AVOIDANCE: f64 = 4.0;
/// Greatest share of requests for which an endpoint is passed over, so that the others show
/// when it has recovered.
const MAX_PASSED_OVER: f64 = 0.95;

/// Returns the share of requests for which each endpoint of a service is passed over since it
/// fails more often than the others.
pub fn passed_over(tallies: &[Tally]) -> Vec<f64> {
    let all = tallies.iter().fold(Tally::default(), |sum, it| sum + *it);
    tallies.iter().map(|it| (excess(*it, all) * AVOIDANCE).min(MAX_PASSED_OVER)).collect()
}

/// Returns by how much the failure rate of an endpoint exceeds that of `all` without it.
fn excess(own: Tally, all: Tally) -> f64 {
    let others = Tally {
        successes: all.successes - own.successes,
        failures: all.failures - own.failures,
        refusals: all.refusals - own.refusals,
    };
    let common = others.failure_rate().clamp(0.0, 1.0);
    let margin = MARGIN * (common * (1.0 - common) / own.weight()).sqrt();
    (own.failure_rate() - common - margin).max(0.0)
}
