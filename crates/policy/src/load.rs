//! Estimates of the loads of endpoints from counts that are partly out of date.
//!
//! A gateway knows its own requests in flight exactly, and those of other gateways
//! as of their last heartbeats. Where requests last much shorter than the interval
//! between heartbeats, these counts describe requests that have long ended. If all
//! gateways chose by them, they would all choose the same endpoint until the next
//! heartbeats, and then all the other one.

/// Age up to which the load that an endpoint reported is used in addition to the
/// gateways' own counts, in milliseconds.
///
/// In an overload the counts miss what waits at an endpoint for gateways that have not
/// sent heartbeats since; the endpoint itself knows.
pub const MAX_REPORT_AGE_MS: u64 = 1_000;
/// Age up to which the load that an endpoint reported is used in a large fleet, where
/// there are no such counts, in milliseconds.
pub const LARGE_FLEET_MAX_REPORT_AGE_MS: u64 = 4_000;
/// Weight of the latest request in the mean duration.
const DURATION_WEIGHT: f64 = 0.1;

/// Mean duration of the requests of one service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct MeanDuration {
    mean_ms: Option<f64>,
}

impl MeanDuration {
    /// Records how long a request was in flight.
    pub fn record(&mut self, duration_ms: u64) {
        let duration_ms = duration_ms as f64;
        self.mean_ms = Some(match self.mean_ms {
            Some(mean_ms) => mean_ms + DURATION_WEIGHT * (duration_ms - mean_ms),
            None => duration_ms,
        });
    }

    /// Returns the share of requests that are still in flight `age_ms` after they
    /// were counted; 1 if no duration is known.
    pub fn remaining_share(&self, age_ms: u64) -> f64 {
        match self.mean_ms {
            Some(mean_ms) => (-(age_ms as f64) / mean_ms.max(1.0)).exp(),
            None => 1.0,
        }
    }
}

/// The load that an endpoint has reported.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Report {
    /// Requests running and waiting there, from all gateways.
    pub load: f64,
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
}

/// Returns the greater of the load `known` from the gateways' counts and the load that
/// the endpoint reported, if that is not older than `max_age_ms`.
pub fn with_report(known: f64, report: Option<Report>, max_age_ms: u64) -> f64 {
    let recent = report.filter(|it| it.age_ms < max_age_ms);
    recent.map_or(known, |it| known.max(it.load))
}

/// Requests in flight at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Counts {
    /// Requests of this gateway.
    pub own: f64,
    /// Requests of the other gateways, as they were reported.
    pub peers: f64,
}

/// Estimates the loads of all endpoints of a service, of which the other gateways
/// reported their requests some time ago.
///
/// Of the reported requests, `remaining_share` are still in flight; as many new
/// ones have been sent, to any of the endpoints alike.
pub fn estimate(counts: &[Counts], remaining_share: f64) -> Vec<f64> {
    let total: f64 = counts.iter().map(|it| it.peers).sum();
    let mean = total / counts.len().max(1) as f64;
    counts.iter().map(|it| it.own + mean + (it.peers - mean) * remaining_share).collect()
}
