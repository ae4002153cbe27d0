//! Response times of endpoints that report no load.
//!
//! Requests that wait at such an endpoint, or that it runs slowly, show in its response times
//! alone. A gateway sees few of them; the gateways tell each other theirs.

use std::ops::Add;

use mimosaledge_core::Millis;

use crate::slowness::{self, Slowness};

/// Responses after the usual time that are added to the observed ones, so that a single one
/// says little.
const PRIOR_RESPONSES: f64 = 2.0;

/// Several responses of one endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ResponseSample {
    /// Number of responses.
    pub count: f64,
    /// Sum of the times that they took, in milliseconds.
    pub total_ms: f64,
}

impl ResponseSample {
    /// Returns the sample of a single response.
    pub fn of_one(duration_ms: u64) -> ResponseSample {
        ResponseSample { count: 1.0, total_ms: duration_ms as f64 }
    }

    /// Returns the mean time of a response, in milliseconds.
    pub fn mean_ms(self) -> f64 {
        self.total_ms / self.count.max(1.0)
    }
}

impl Add for ResponseSample {
    type Output = ResponseSample;

    fn add(self, other: ResponseSample) -> ResponseSample {
        ResponseSample { count: self.count + other.count, total_ms: self.total_ms + other.total_ms }
    }
}

/// Recent response times of one endpoint, of which older ones count less.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ResponseTimes {
    recent: ResponseSample,
    updated: Millis,
}

impl ResponseTimes {
    /// Records responses that came `age_ms` ago.
    pub fn record(&mut self, sample: ResponseSample, age_ms: u64, now: Millis) {
        let weight = slowness::weight(age_ms);
        let before = self.recent_at(now);
        self.recent = ResponseSample {
            count: before.count + sample.count * weight,
            total_ms: before.total_ms + sample.total_ms * weight,
        };
        self.updated = now;
    }

    fn recent_at(&self, now: Millis) -> ResponseSample {
        let weight = slowness::weight(now.since(self.updated));
        ResponseSample {
            count: self.recent.count * weight,
            total_ms: self.recent.total_ms * weight,
        }
    }
}

/// Returns how slow each endpoint of a service is, compared with all of them.
pub fn slownesses(endpoints: &[ResponseTimes], now: Millis) -> Vec<Slowness> {
    let recent: Vec<ResponseSample> = endpoints.iter().map(|it| it.recent_at(now)).collect();
    let count: f64 = recent.iter().map(|it| it.count).sum();
    let total_ms: f64 = recent.iter().map(|it| it.total_ms).sum();
    if total_ms <= 0.0 {
        return vec![Slowness::USUAL; endpoints.len()];
    }
    let usual_ms = total_ms / count;
    let to_slowness = |it: &ResponseSample| {
        let total_ms = it.total_ms + PRIOR_RESPONSES * usual_ms;
        Slowness::new(total_ms / ((it.count + PRIOR_RESPONSES) * usual_ms))
    };
    recent.iter().map(to_slowness).collect()
}
