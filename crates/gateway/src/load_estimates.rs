//! Estimates of the loads of a service's endpoints, for one placement.

use std::rc::Rc;

use mimosaledge_core::Millis;
use mimosaledge_policy::{
    load::{self, Counts},
    load_forecast::{Forecast, Known},
    response_times::{self, ResponseTimes},
    slowness::Slowness,
};

use crate::{endpoint_handle::EndpointHandle, loads::Loads};

/// Estimated loads of endpoints, in the order in which these were given.
#[derive(Debug)]
pub(crate) struct LoadEstimates {
    /// Requests that each runs or has queued.
    pub(crate) loads: Vec<f64>,
    /// How slow each is just now.
    pub(crate) slownesses: Vec<Slowness>,
    /// The forecast behind the loads, if requests are spread by the age of what is known.
    pub(crate) forecast: Option<Forecast>,
}

impl LoadEstimates {
    /// Estimates loads as the greater of the requests of all gateways and the load that the
    /// endpoint recently reported. `remaining_share` of the requests that other gateways have
    /// reported are still in flight.
    pub(crate) fn from_counts(
        handles: &[Rc<EndpointHandle>],
        loads: &Loads,
        remaining_share: f64,
        now: Millis,
    ) -> LoadEstimates {
        let counts: Vec<Counts> = handles.iter().map(|it| counts_of(it, loads)).collect();
        let known_loads = load::estimate(&counts, remaining_share).into_iter().zip(handles);
        let max_age_ms = loads.max_report_age_ms();
        LoadEstimates {
            loads: known_loads
                .map(|(load, it)| load::with_report(load, it.report(now), max_age_ms))
                .collect(),
            slownesses: handles.iter().map(|it| it.speed.slowness(now)).collect(),
            forecast: None,
        }
    }

    /// Forecasts loads from counts and reports of different ages, and how slow endpoints are
    /// from response times also.
    pub(crate) fn forecast(
        handles: &[Rc<EndpointHandle>],
        loads: &Loads,
        now: Millis,
    ) -> LoadEstimates {
        let known: Vec<Known> = handles.iter().map(|it| known_of(it, loads, now)).collect();
        let duration = handles.first().map(|it| it.load.mean_duration()).unwrap_or_default();
        let forecast = Forecast::new(&known, duration);
        let times: Vec<ResponseTimes> = handles.iter().map(|it| it.speed.times()).collect();
        let by_times = response_times::slownesses(&times, now);
        LoadEstimates {
            loads: forecast.loads(),
            slownesses: handles
                .iter()
                .zip(by_times)
                .map(|(it, by_times)| it.speed.slowness(now).and(by_times))
                .collect(),
            forecast: Some(forecast),
        }
    }

    /// Returns the requests that are at some of the endpoints, it is not known which.
    pub(crate) fn unsettled(&self) -> f64 {
        self.forecast.as_ref().map(Forecast::unsettled).unwrap_or_default()
    }
}

fn counts_of(handle: &EndpointHandle, loads: &Loads) -> Counts {
    Counts { own: handle.load.in_flight().into(), peers: loads.peer_requests(handle.node()).into() }
}

fn known_of(handle: &EndpointHandle, loads: &Loads, now: Millis) -> Known {
    Known {
        counts: counts_of(handle, loads),
        // In a large fleet there are no counts.
        counts_age_ms: if loads.is_sampled() { u64::MAX } else { loads.peer_age_ms(now) },
        report: handle.report(now),
        own_since: handle.load.sent_since_report().into(),
    }
}
