//! What has been tried for one request.

use std::rc::Rc;

use mimosaledge_policy::{Route, sends::Sends};

use crate::{
    attempt::AttemptError, endpoint_handle::EndpointHandle, request_context::RequestContext,
};

/// Maximum number of endpoints that one request is sent to, including those that refuse it.
const MAX_SENDS: u32 = 4;

/// The endpoints selected for one request at this gateway, and its sends at all gateways.
#[derive(Debug)]
pub(crate) struct RetryState {
    pub(crate) sends: Sends,
    /// Node numbers of the endpoints selected here; none is selected twice.
    tried_nodes: Vec<u64>,
    /// Key of the build that sent the first event of the stream; only endpoints of this
    /// build can continue it.
    pub(crate) build: Option<u64>,
}

impl RetryState {
    /// Creates the state of a request for which nothing has been tried at this gateway.
    pub(crate) fn new(context: &RequestContext) -> RetryState {
        RetryState { sends: context.sends, tried_nodes: Vec::new(), build: context.build }
    }

    /// Returns whether the request may be sent to this endpoint.
    pub(crate) fn allows(&self, handle: &EndpointHandle) -> bool {
        !self.tried_nodes.contains(&handle.node())
            && self.build.is_none_or(|it| it == handle.endpoint.borrow().build_key())
    }

    /// Records that an endpoint was selected.
    pub(crate) fn record_selected(&mut self, handle: &Rc<EndpointHandle>) {
        self.tried_nodes.push(handle.node());
    }

    /// Records that an attempt yielded no response.
    pub(crate) fn record_failure(&mut self, error: AttemptError) {
        match error {
            AttemptError::Unsent => self.sends.sent = self.sends.sent.saturating_sub(1),
            AttemptError::NotRun => {}
            AttemptError::Unknown | AttemptError::Silent | AttemptError::NoMemory => {
                self.record_run();
            }
        }
    }

    /// Records that an attempt may have run and has ended.
    pub(crate) fn record_run(&mut self) {
        self.sends.ran += 1;
    }

    /// Returns whether an endpoint was selected for the request at this gateway.
    pub(crate) fn has_tried(&self) -> bool {
        !self.tried_nodes.is_empty()
    }

    /// Returns whether this gateway has sent the request to an endpoint that it reached.
    pub(crate) fn has_sent(&self, context: &RequestContext) -> bool {
        self.sends.sent != context.sends.sent || self.sends.ran != context.sends.ran
    }

    /// Returns whether the request may have run at an endpoint.
    pub(crate) fn may_have_run(&self) -> bool {
        self.sends.ran > 0
    }

    /// Returns whether the request may have run as often as the route allows.
    pub(crate) fn is_used_up(&self, route: &Route) -> bool {
        self.sends.ran >= route.max_attempts
    }

    /// Returns whether the route allows a further attempt beside the one in flight.
    pub(crate) fn allows_replacement(&self, route: &Route) -> bool {
        self.sends.ran + 1 < route.max_attempts
    }

    /// Returns whether the request was sent to as many endpoints as allowed, or as many were
    /// tried here.
    pub(crate) fn is_at_send_limit(&self) -> bool {
        self.sends.sent >= MAX_SENDS || self.tried_nodes.len() >= MAX_SENDS as usize
    }
}
