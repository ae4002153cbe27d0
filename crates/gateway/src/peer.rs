//! Another gateway, as received in its last heartbeat.

use mimosaledge_core::Millis;
use mimosaledge_peer::{Outcomes, RequestCount, StateSummary, Version};

use crate::status::Status;

/// The last state that another gateway has reported.
#[derive(Debug, Default)]
pub(crate) struct Peer {
    pub(crate) status: Status,
    /// Version of the protocol that it speaks.
    pub(crate) version: Version,
    pub(crate) summary: StateSummary,
    /// When the last heartbeat arrived.
    pub(crate) heard_at: Millis,
    pub(crate) request_counts: Vec<RequestCount>,
    pub(crate) outcomes: Vec<Outcomes>,
}
