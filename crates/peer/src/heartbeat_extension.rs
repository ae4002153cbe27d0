//! Parts of a heartbeat that gateways of earlier builds do not know.

use mimosaledge_policy::Position;
use serde::{Deserialize, Serialize};

use crate::{
    service_usage::ServiceUsage,
    slowness_sample::{ResponseTimeSample, SlownessSample},
    warmup_sample::WarmupSample,
};

/// The data centres whose endpoints get no requests, as of a position in the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationSummary {
    /// Position up to which the sender knows of evacuations.
    pub position: Position,
    /// Hashes of the names of the data centres, in order.
    pub data_centres: Vec<u32>,
}

/// What follows a heartbeat and the groups that its sender does not reach.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatExtension {
    /// Hash of the name of the sender's region, or 0 if the fleet has only one.
    pub region: u32,
    /// The evacuated data centres, if the sender has read of them.
    pub evacuations: Option<EvacuationSummary>,
    /// Cold endpoints that the sender knows of from itself.
    pub warmups: Vec<WarmupSample>,
    /// Endpoints that are slow just now, or were lately.
    pub slow_endpoints: Vec<SlownessSample>,
    /// Response times of endpoints that report no load; only in a small fleet.
    pub response_times: Vec<ResponseTimeSample>,
    /// Requests to services that lack room.
    pub usages: Vec<ServiceUsage>,
}

impl HeartbeatExtension {
    /// Returns whether there is nothing to send.
    pub fn is_empty(&self) -> bool {
        *self == HeartbeatExtension::default()
    }
}
