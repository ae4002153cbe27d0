//! How long endpoints stay cold.

use serde::{Deserialize, Serialize};

/// A cold endpoint, as one gateway tells others of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WarmupSample {
    /// Truncated node number of the endpoint.
    pub endpoint: u32,
    /// Time for which it stays cold, in milliseconds.
    pub left_ms: u32,
}
