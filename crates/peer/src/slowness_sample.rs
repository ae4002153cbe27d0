//! How slow endpoints are just now.

use mimosaledge_policy::{response_times::ResponseSample, slowness::Slowness};
use serde::{Deserialize, Serialize};

/// How slow an endpoint said to a gateway that it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlownessSample {
    /// Truncated node number of the endpoint.
    pub endpoint: u32,
    /// Time that work takes there, in percent of the usual time.
    percent: u16,
    /// Age of the sample when it was sent, in milliseconds.
    pub age_ms: u16,
}

impl SlownessSample {
    /// Creates a sample of what the endpoint `node` said `age_ms` ago.
    pub fn new(node: u64, slowness: Slowness, age_ms: u64) -> SlownessSample {
        SlownessSample {
            endpoint: node as u32,
            percent: (slowness.multiple() * 100.0).round() as u16,
            age_ms: saturate(age_ms),
        }
    }

    /// Returns the slowness that the endpoint named.
    pub fn slowness(&self) -> Slowness {
        Slowness::new(f64::from(self.percent) / 100.0)
    }
}

/// Response times of an endpoint that a gateway has not told of before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseTimeSample {
    /// Truncated node number of the endpoint.
    pub endpoint: u32,
    count: u16,
    mean_ms: u16,
    /// Mean age of the responses when the sample was sent, in milliseconds.
    pub age_ms: u16,
}

impl ResponseTimeSample {
    /// Creates a sample of responses of the endpoint `node` that came `age_ms` ago in the mean.
    pub fn new(node: u64, sample: ResponseSample, age_ms: u64) -> ResponseTimeSample {
        ResponseTimeSample {
            endpoint: node as u32,
            count: saturate(sample.count as u64),
            mean_ms: saturate(sample.mean_ms() as u64),
            age_ms: saturate(age_ms),
        }
    }

    /// Returns the number of responses and the time that they took.
    pub fn to_responses(&self) -> ResponseSample {
        let count = f64::from(self.count);
        ResponseSample { count, total_ms: count * f64::from(self.mean_ms) }
    }
}

fn saturate(value: u64) -> u16 {
    value.min(u64::from(u16::MAX)) as u16
}
