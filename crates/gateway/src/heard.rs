//! What a heartbeat has changed of what is known of its sender.

/// Changes of another gateway's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Heard {
    /// Whether it was not known to be alive.
    pub(crate) has_joined: bool,
    /// Whether it accepts requests and did not before.
    pub(crate) has_become_ready: bool,
}
