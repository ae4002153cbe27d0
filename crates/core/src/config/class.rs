use serde::Deserialize;

/// The kind of endpoint that serves a request class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// Engines, which stream tokens.
    Engine,
    /// Services, which send a complete response body.
    Service,
}

/// Routing and scheduling parameters of a request class.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// The kind of endpoint that serves the class.
    pub target: Target,
    /// Scheduling priority from 0 to 9; requests with a higher one are admitted first.
    pub priority: u8,
    /// Longest time from arrival of the request to the end of the response, in
    /// milliseconds.
    pub deadline_ms: u64,
    /// Longest time in the admission queue, in milliseconds.
    pub queue_ms: u64,
    /// Whether requests are idempotent and may be retried.
    pub idempotent: bool,
}
