use serde::{Deserialize, Serialize};

use crate::name::Name;

/// A model that the fleet serves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelSpec {
    /// Version that engines must load.
    pub version: u32,
    /// Size of the weights in mebibytes.
    pub weight_mib: u64,
}

/// The model that an engine must serve.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineAssignment {
    /// Name of the model.
    pub model: Name,
    /// Whether the engine rejects orders with a stale fencing token.
    pub fenced: bool,
}
