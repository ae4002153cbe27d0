//! Reports of crashed endpoints.

use mimosaledge_policy::crashing_parts::CrashSuspect;
use serde::{Deserialize, Serialize};

/// A request that was in flight at an endpoint when it crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Node number of the endpoint's incarnation.
    pub endpoint: u64,
}

/// A suspect of a crash, with the time since the crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// The suspect.
    pub suspect: CrashSuspect,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
}

/// A request or a part of prompts that a gateway refuses since it crashes endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Fingerprint of the request, or identifier of the part.
    pub key: u64,
    /// Time for which it is still refused, in milliseconds.
    pub retry_ms: u64,
}
