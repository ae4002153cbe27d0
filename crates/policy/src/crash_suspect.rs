//! A part of a prompt that may have crashed an engine.

use serde::{Deserialize, Serialize};

/// A part of a request that was in flight at an engine when it crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashSuspect {
    /// Identifier of the part.
    pub part: u64,
    /// Number of parts before it in the prompt.
    pub depth: u8,
    /// Node number of the endpoint's incarnation, which identifies the crash.
    pub crash: u64,
}
