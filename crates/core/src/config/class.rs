use serde::Deserialize;

/// The kind of endpoint that serves a request class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// Model engines; answers are streamed tokens.
    Engine,
    /// Plain services; answers are whole bodies.
    Service,
}

/// A request class.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// The kind of endpoint that serves the class.
    pub target: Target,
    /// Scheduling priority from 0 to 9; a higher one goes first.
    pub priority: u8,
    /// Longest time from arrival to the end of the answer, in milliseconds.
    pub deadline_ms: u64,
    /// Longest wait for admission, in milliseconds.
    pub queue_ms: u64,
    /// Whether the request is idempotent and may be retried.
    pub idempotent: bool,
}
