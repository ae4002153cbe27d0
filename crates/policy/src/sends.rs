//! What has been sent to endpoints for one request.

use serde::{Deserialize, Serialize};

/// The sends of one request, at all gateways that have served it.
///
/// A request takes them along when it is handed over to another gateway, so that they count
/// for its whole life.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sends {
    /// Whether the request counts in the retry budget of some gateway.
    pub is_recorded: bool,
    /// Whether the next send is a retry that another gateway has taken from its budget.
    pub is_prepaid: bool,
    /// Number of endpoints that the request may have reached.
    pub sent: u32,
    /// Number of attempts, besides one in flight, that may have run at an endpoint.
    pub ran: u32,
}

impl Sends {
    /// Returns whether the next send takes a retry from the budget of the gateway that sends.
    pub fn is_charged(&self) -> bool {
        self.sent > 0 && !self.is_prepaid
    }
}

/// Allows one request to be sent to one endpoint.
///
/// Only [`RetryBudget::admit`](crate::retry_budget::RetryBudget::admit) issues it.
#[derive(Debug)]
#[must_use]
pub struct SendGrant {
    /// Whether the gateway that sends has taken a retry from its budget for this.
    pub(crate) is_charged: bool,
}
