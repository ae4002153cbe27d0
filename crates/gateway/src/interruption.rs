//! How the stream of an endpoint breaks off.

/// Why an endpoint's stream ended before the last event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Interruption {
    /// The connection was lost.
    ConnectionBroken,
    /// The response ended inside an event.
    EndedInsideEvent,
    /// Events are missing or too large.
    InvalidEvent,
    /// The response ended before the first event.
    EndedWithoutEvent,
    /// The endpoint sent nothing.
    Silent,
}

impl Interruption {
    pub(crate) fn log_label(self) -> &'static str {
        match self {
            Interruption::ConnectionBroken => "connection broken",
            Interruption::EndedInsideEvent => "ended inside an event",
            Interruption::InvalidEvent => "missing, misplaced or oversized event",
            Interruption::EndedWithoutEvent => "ended without an event",
            Interruption::Silent => "silent",
        }
    }
}
