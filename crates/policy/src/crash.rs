//! A crash of an engine, as one suspect has met it.

use mimosaledge_core::Millis;

use crate::crash_stage::CrashStage;

/// A crash during which a part was in a prompt at the engine.
#[derive(Debug)]
pub(crate) struct Crash {
    /// Node number of the endpoint's incarnation.
    pub(crate) id: u64,
    pub(crate) at: Millis,
    pub(crate) stage: CrashStage,
    /// Number of requests that had completed here before it was recorded.
    pub(crate) completions: u64,
    /// Whether the part has not completed since.
    pub(crate) counts: bool,
}
