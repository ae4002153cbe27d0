//! The load of one endpoint, as far as one gateway knows it.

use std::{cell::Cell, rc::Rc};

use mimosaledge_core::Millis;
use mimosaledge_peer::LoadSample;
use mimosaledge_policy::load::{MeanDuration, Report};

/// Age up to which the load that an endpoint reported is sent to other
/// gateways, in milliseconds.
const MAX_SAMPLE_AGE_MS: u64 = 2_000;

/// The load that an endpoint reported in a response.
#[derive(Debug, Clone, Copy)]
struct ReportedLoad {
    load: u32,
    at: Millis,
    /// Whether the endpoint reported it to this gateway, not to a peer.
    is_direct: bool,
}

/// This gateway's requests at an endpoint, and the load that the endpoint reported.
#[derive(Debug)]
pub(crate) struct EndpointLoad {
    /// Number of this gateway's requests in flight.
    in_flight: Cell<u32>,
    reported: Cell<Option<ReportedLoad>>,
    /// Number of requests that this gateway has sent since then.
    sent_since_report: Cell<u32>,
    /// Mean duration of the requests of the endpoint's service.
    mean_duration: Rc<Cell<MeanDuration>>,
}

impl EndpointLoad {
    /// Creates the load of an endpoint without requests.
    pub(crate) fn new(mean_duration: Rc<Cell<MeanDuration>>) -> EndpointLoad {
        EndpointLoad {
            in_flight: Cell::new(0),
            reported: Cell::new(None),
            sent_since_report: Cell::new(0),
            mean_duration,
        }
    }

    /// Returns the number of this gateway's requests in flight.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.get()
    }

    /// Returns the mean duration of the requests of the endpoint's service.
    pub(crate) fn mean_duration(&self) -> MeanDuration {
        self.mean_duration.get()
    }

    /// Counts a request of this gateway as in flight.
    pub(crate) fn add_request(&self) {
        self.in_flight.set(self.in_flight.get() + 1);
        self.sent_since_report.set(self.sent_since_report.get().saturating_add(1));
    }

    /// Stops counting a request of this gateway that was in flight for `duration_ms`.
    pub(crate) fn remove_request(&self, duration_ms: u64) {
        self.in_flight.set(self.in_flight.get() - 1);
        let mut mean_duration = self.mean_duration.get();
        mean_duration.record(duration_ms);
        self.mean_duration.set(mean_duration);
    }

    /// Returns whether the endpoint last reported that all of its `slots` are in use.
    pub(crate) fn is_busy(&self, slots: u32) -> bool {
        self.reported.get().is_some_and(|it| it.load >= slots)
    }

    /// Records the load that the endpoint reported to this gateway.
    pub(crate) fn record(&self, load: u32, now: Millis) {
        self.set_reported(ReportedLoad { load, at: now, is_direct: true });
    }

    fn set_reported(&self, reported: ReportedLoad) {
        self.reported.set(Some(reported));
        self.sent_since_report.set(0);
    }

    /// Returns the number of requests that this gateway has sent since the endpoint's last
    /// known report.
    pub(crate) fn sent_since_report(&self) -> u32 {
        self.sent_since_report.get()
    }

    /// Returns the load that the endpoint `node` reported to this gateway, if it is
    /// recent.
    pub(crate) fn to_sample(&self, node: u64, now: Millis) -> Option<LoadSample> {
        let report = self.reported.get().filter(|it| it.is_direct)?;
        let age_ms = now.since(report.at);
        (age_ms < MAX_SAMPLE_AGE_MS).then(|| LoadSample::new(node, report.load, age_ms))
    }

    /// Applies the load that the endpoint reported to another gateway, if that
    /// is newer than the last known one.
    pub(crate) fn apply_sample(&self, sample: &LoadSample, now: Millis) {
        let at = now - sample.age_ms();
        if self.reported.get().is_none_or(|known| known.at < at) {
            self.set_reported(ReportedLoad { load: sample.load(), at, is_direct: false });
        }
    }

    /// Returns the last load that the endpoint reported.
    pub(crate) fn report(&self, now: Millis) -> Option<Report> {
        let reported = self.reported.get()?;
        Some(Report { load: reported.load.into(), age_ms: now.since(reported.at) })
    }
}
