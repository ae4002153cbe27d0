//! How far engines are with requests when they crash.

/// Number of crashes that make a part a culprit, of engines that had begun to respond.
pub const CRASH_LIMIT: usize = 3;
/// The same of engines at which the request was waiting.
pub const WAITING_CRASH_LIMIT: usize = 5;
/// Weight of the crashes that make a part a culprit, so that both kinds add up.
pub(crate) const WEIGHT_LIMIT: usize = CRASH_LIMIT * WAITING_CRASH_LIMIT;

/// How far an engine was with a request when it crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CrashStage {
    /// The head of the response was not received; the engine may not have begun.
    Waiting,
    /// The engine had just begun to respond.
    Responding,
}

impl CrashStage {
    /// Returns how much a crash at this stage says.
    pub(crate) fn weight(self) -> usize {
        match self {
            CrashStage::Waiting => WEIGHT_LIMIT / WAITING_CRASH_LIMIT,
            CrashStage::Responding => WEIGHT_LIMIT / CRASH_LIMIT,
        }
    }
}
