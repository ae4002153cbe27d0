//! Recent outcomes of requests.

use mimosaledge_policy::health::Tally;
use serde::{Deserialize, Serialize};

/// Factor by which outcomes are scaled for sending: tallies decay and are not
/// whole numbers, so that they are sent in tenths of a request.
const OUTCOME_SCALE: f64 = 10.0;

/// Outcomes of a gateway's requests at an endpoint, in tenths of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcomes {
    /// Truncated node number of the endpoint.
    endpoint: u32,
    successes: u16,
    failures: u16,
    refusals: u16,
}

impl Outcomes {
    /// Converts a tally for sending; returns `None` if it has neither failures nor
    /// refusals.
    pub fn from_tally(node: u64, tally: Tally) -> Option<Outcomes> {
        let scaled = |count: f64| (count * OUTCOME_SCALE).min(f64::from(u16::MAX)) as u16;
        let [failures, refusals] = [tally.failures, tally.refusals].map(scaled);
        (failures > 0 || refusals > 0).then(|| Outcomes {
            endpoint: node as u32,
            successes: scaled(tally.successes),
            failures,
            refusals,
        })
    }

    /// Returns the truncated node number of the endpoint.
    pub fn endpoint(self) -> u32 {
        self.endpoint
    }

    /// Returns the failures and refusals, in tenths of a request.
    pub fn failures(&self) -> u32 {
        u32::from(self.failures) + u32::from(self.refusals)
    }

    /// Returns the tally that was sent.
    pub fn to_tally(self) -> Tally {
        Tally {
            successes: f64::from(self.successes) / OUTCOME_SCALE,
            failures: f64::from(self.failures) / OUTCOME_SCALE,
            refusals: f64::from(self.refusals) / OUTCOME_SCALE,
        }
    }
}
