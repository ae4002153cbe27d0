//! Services that run requests.

use mimosaledge_core::Name;
use serde::{Deserialize, Serialize};

/// A group of like endpoints.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The service's name.
    pub name: Name,
    /// Most connections that one endpoint takes from all callers.
    pub max_conns: u32,
    /// Requests that one engine batches, if the endpoints are engines.
    pub batch_slots: Option<u32>,
}
