//! Whether a gateway can serve requests.

/// Whether a gateway can serve requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Status {
    /// Whether it accepts requests.
    pub(crate) ready: bool,
    /// Whether it reaches none of the endpoints.
    pub(crate) cut_off: bool,
}
