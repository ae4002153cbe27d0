//! Placement of a request at an endpoint that runs no batches.

use std::rc::Rc;

use mimosaledge_core::Millis;
use mimosaledge_policy::{
    PolicySettings,
    broken_responses::{self, BrokenResponses},
    even_choice::{self, Backlog},
    failure_excess,
    health::Tally,
    load_forecast::Forecast,
    placement::{Candidate, Placement},
};

use crate::{endpoint_handle::EndpointHandle, loads::Loads};

/// Places a request at one of `candidates`, whose loads are those of `forecast`; `handles` are
/// in the same order.
pub(crate) fn place(
    policy: &PolicySettings,
    forecast: &Forecast,
    handles: &[Rc<EndpointHandle>],
    candidates: &[Candidate],
    loads: &Loads,
    random: u64,
    now: Millis,
) -> Placement {
    let tallies: Vec<Tally> =
        handles.iter().map(|it| it.tally(now) + loads.peer_outcomes(it.node())).collect();
    let failing = failure_excess::passed_over(&tallies).into_iter();
    let broken: Vec<BrokenResponses> = handles.iter().map(|it| it.speed.broken()).collect();
    let breaking = broken_responses::passed_over(&broken, now);
    let offsets = forecast.offsets().into_iter();
    let backlogs: Vec<Backlog> = candidates
        .iter()
        .zip(handles)
        .zip(offsets.zip(failing.zip(breaking)))
        .map(|((candidate, handle), (offset, (failing, breaking)))| {
            let distance = if candidate.is_local { 0.0 } else { policy.remote_cost };
            let refusing = if policy.avoid_refusals { candidate.refusal_rate } else { 0.0 };
            let slots = handle.endpoint.borrow().slots.max(1);
            Backlog {
                load: (candidate.load + offset).max(0.0) + distance,
                pace: candidate.slowness.multiple() / f64::from(slots),
                passed_over: 1.0 - (1.0 - refusing) * (1.0 - failing) * (1.0 - breaking),
            }
        })
        .collect();
    match even_choice::choose(&backlogs, forecast.unsettled(), random) {
        Some(index) => Placement::Candidate { index, admitting: candidates.len() },
        None => Placement::NoCandidate,
    }
}
