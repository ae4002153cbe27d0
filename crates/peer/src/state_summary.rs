//! What a gateway tells of its configuration and endpoint list.

use mimosaledge_policy::Position;
use serde::{Deserialize, Serialize};

/// Identifies the configuration and endpoint list that a gateway has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateSummary {
    /// Version of the configuration.
    pub version: u64,
    /// Latest known era of the store.
    pub era: u64,
    /// Position up to which the endpoint list was read from the store's log.
    pub position: Position,
    /// Digest of the endpoint list.
    pub digest: u64,
    /// Time since the list was last known to be current, in milliseconds.
    pub list_age_ms: u64,
    /// Time since the configuration was last known to be current, in milliseconds.
    pub config_age_ms: u64,
}
