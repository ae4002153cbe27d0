//! What has been tried for one request.

use crate::endpoint_handle::EndpointHandle;

/// The endpoints selected and the attempts used so far for one request.
#[derive(Debug, Default)]
pub(crate) struct RetryState {
    /// Node numbers of the endpoints selected; none is selected twice.
    pub(crate) tried_nodes: Vec<u64>,
    /// Number of endpoints that were selected to send the request to.
    pub(crate) sent: u32,
    /// Number of attempts, besides one in flight, that may have run at an endpoint.
    pub(crate) ran: u32,
    /// Key of the build that sent the first event of the stream; only endpoints of this
    /// build can continue it.
    pub(crate) build: Option<u64>,
}

impl RetryState {
    /// Returns whether the request may be sent to this endpoint.
    pub(crate) fn allows(&self, handle: &EndpointHandle) -> bool {
        !self.tried_nodes.contains(&handle.node())
            && self.build.is_none_or(|it| it == handle.endpoint.borrow().build_key())
    }
}
