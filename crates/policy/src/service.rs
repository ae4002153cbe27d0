//! Services: groups of endpoints.

use mimosaledge_core::Name;
use serde::{Deserialize, Serialize};

/// A group of interchangeable endpoints.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The service's name.
    pub name: Name,
    /// Maximum number of connections to one endpoint, from all of its clients
    /// together.
    pub max_conns: u32,
    /// Number of requests in an engine's batch, if the endpoints are engines.
    pub batch_slots: Option<u32>,
}
