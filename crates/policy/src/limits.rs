//! Limits on what a client may send.

use serde::{Deserialize, Serialize};

/// Limits on a client's requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time for sending a request head, in milliseconds.
    pub head_ms: u64,
    /// Longest time that a kept connection may stay idle, in milliseconds.
    pub idle_ms: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { head_bytes: 16 * 1024, body_bytes: 4 << 20, head_ms: 3_000, idle_ms: 15_000 }
    }
}
