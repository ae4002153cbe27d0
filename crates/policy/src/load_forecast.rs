//! The loads of a service's endpoints now, from what was known of them some time ago.
//!
//! Of the requests that were counted or reported, some have ended since, and others have
//! taken their places. How many is known, but not where, so that a forecast separates them
//! from the requests that are known to be at one endpoint.

use crate::load::{Counts, MeanDuration, Report};

/// Share of the unsettled requests for which one request of this gateway stands, as a multiple
/// of the mean: it is news of its endpoint that is not old.
const OWN_REQUEST_WEIGHT: f64 = 3.0;

/// What is known of the load of one endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Known {
    /// Requests in flight there, as the gateways have counted them.
    pub counts: Counts,
    /// Age of the other gateways' counts, in milliseconds.
    pub counts_age_ms: u64,
    /// The load that the endpoint reported last.
    pub report: Option<Report>,
    /// Requests that this gateway has sent there since that report.
    pub own_since: f64,
}

impl Known {
    /// Returns the requests that are still there, and how many others have ended.
    fn settle(&self, duration: MeanDuration) -> (f64, f64) {
        let newer = self.report.filter(|it| it.age_ms < self.counts_age_ms);
        match newer {
            Some(report) => {
                let remaining = report.load * duration.remaining_share(report.age_ms);
                let own_since = self.own_since.min(self.counts.own);
                ((remaining + own_since).max(self.counts.own), report.load - remaining)
            }
            None => {
                let remaining = self.counts.peers * duration.remaining_share(self.counts_age_ms);
                (remaining + self.counts.own, self.counts.peers - remaining)
            }
        }
    }
}

/// Requests at the endpoints of a service, in the order in which these were given.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Forecast {
    /// Requests that are known to be at each endpoint.
    settled: Vec<f64>,
    /// This gateway's requests at each endpoint.
    own: Vec<f64>,
    /// Requests that have taken the places of those that have ended, at any of the endpoints.
    unsettled: f64,
}

impl Forecast {
    /// Forecasts the loads of endpoints of a service whose requests last as `duration` says.
    ///
    /// What an endpoint reported goes before the counts while it is newer.
    pub fn new(known: &[Known], duration: MeanDuration) -> Forecast {
        let (settled, ended): (Vec<f64>, Vec<f64>) =
            known.iter().map(|it| it.settle(duration)).unzip();
        let own = known.iter().map(|it| it.counts.own).collect();
        Forecast { settled, own, unsettled: ended.iter().sum() }
    }

    /// Returns the requests of which it is not known where they are.
    pub fn unsettled(&self) -> f64 {
        self.unsettled
    }

    /// Returns the load of each endpoint if the unsettled requests are spread evenly.
    pub fn loads(&self) -> Vec<f64> {
        let mean = self.mean_unsettled();
        self.settled.iter().map(|it| it + mean).collect()
    }

    /// Returns by how much the load with which an endpoint is compared with others is above
    /// the one in [`loads`](Forecast::loads).
    pub fn offsets(&self) -> Vec<f64> {
        let mean = self.mean_unsettled();
        self.own.iter().map(|it| (it * OWN_REQUEST_WEIGHT - 1.0) * mean).collect()
    }

    fn mean_unsettled(&self) -> f64 {
        self.unsettled / self.settled.len().max(1) as f64
    }
}
