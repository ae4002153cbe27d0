//! An endpoint that was selected for one attempt.

use std::rc::Rc;

use mimosaledge_policy::sends::SendGrant;

use crate::{endpoint_handle::EndpointHandle, permit::Permit};

/// An endpoint and what a request needs to be sent there.
pub(crate) struct Selected {
    pub(crate) handle: Rc<EndpointHandle>,
    pub(crate) permit: Permit,
    pub(crate) grant: SendGrant,
}
