//! Another gateway, as received in its last heartbeat.

use mimosaledge_core::Millis;
use mimosaledge_peer::{Outcomes, RequestCount, StateSummary, Version};
use mimosaledge_policy::EndpointGroup;

use crate::status::Status;

/// The last state that another gateway has reported.
#[derive(Debug, Default)]
pub(crate) struct Peer {
    pub(crate) status: Status,
    /// Numbers of the services and builds that it reaches no endpoint of.
    pub(crate) unreached: Vec<u32>,
    /// Version of the protocol that it speaks.
    pub(crate) version: Version,
    /// Hash of the name of its region, or 0 if it has named none.
    pub(crate) region: u32,
    pub(crate) summary: StateSummary,
    /// When the last heartbeat arrived.
    pub(crate) heard_at: Millis,
    pub(crate) request_counts: Vec<RequestCount>,
    pub(crate) outcomes: Vec<Outcomes>,
}

impl Peer {
    /// Returns whether the gateway reaches endpoints of a group, as far as it has said.
    pub(crate) fn reaches(&self, group: &EndpointGroup) -> bool {
        let whole = EndpointGroup::of_service(group.service.clone());
        let is_unreached = |it: &EndpointGroup| self.unreached.contains(&it.number());
        !self.status.cut_off && !is_unreached(&whole) && !is_unreached(group)
    }
}
