use serde::{Deserialize, Serialize};

use crate::name::Name;

/// A model that the fleet serves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelSpec {
    /// Version that engines are ordered to load.
    pub version: u32,
    /// Size of the weights in mebibytes.
    pub weight_mib: u64,
}

/// The models that one engine is ordered to serve.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineAssignment {
    /// Name of the model.
    pub model: Name,
    /// Whether the engine refuses orders with an old fencing number.
    pub fenced: bool,
}
