//! Parts of the configuration that gateways of earlier builds do not know.

use mimosaledge_core::Name;
use serde::{Deserialize, Serialize};

/// How a service's endpoints start: for some time they accept only a few requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SlowStart {
    /// The service's name.
    pub service: Name,
    /// Time after its start for which an endpoint is cold, in milliseconds.
    pub duration_ms: u64,
    /// Requests per second that a cold endpoint accepts from all gateways together.
    pub rate: f64,
}

/// The regions that the requests of a route or workspace may not leave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Homes {
    /// Name of the route or workspace.
    pub name: Name,
    /// Names of the regions; not empty.
    pub regions: Vec<Name>,
}

/// The parts of one version of the configuration that follow it in messages between gateways.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigExtension {
    /// Services whose endpoints start slowly.
    pub slow_starts: Vec<SlowStart>,
    /// Routes with homes.
    pub routes: Vec<Homes>,
    /// Workspaces with homes.
    pub workspaces: Vec<Homes>,
}

impl ConfigExtension {
    /// Returns whether the configuration has none of these parts.
    pub fn is_empty(&self) -> bool {
        *self == ConfigExtension::default()
    }
}
