//! An authorized request, as the modules that serve it see it.

use std::{cell::Cell, rc::Rc};

use hyper::http::request::Parts;
use mimosaledge_core::{Millis, Name};
use mimosaledge_policy::{
    EndpointGroup, Route, config::AuthorizedRequest, permits::RequestSize, sends::Sends,
};

use crate::{
    body_buffer::HeldBody,
    client_memory::{ClientMemory, Grant},
    dialect::RequestMetadata,
};

/// An authorized request with its body and routing data.
#[derive(Debug)]
pub(crate) struct RequestContext {
    pub(crate) head: Parts,
    pub(crate) metadata: RequestMetadata,
    pub(crate) body: HeldBody,
    /// The memory of the client's connection.
    pub(crate) client: Rc<ClientMemory>,
    /// Memory for serving the request.
    pub(crate) _memory: Grant,
    pub(crate) authorized: AuthorizedRequest,
    /// The service, selected from those of the route.
    pub(crate) service: Name,
    /// Key of the build that began the stream, if the request resumes one.
    pub(crate) build: Option<u64>,
    /// Hash that identifies the prompt prefix that engines may have cached, if
    /// the route is sticky and the request has a prompt.
    pub(crate) prefix: Option<u64>,
    /// Hash of path, API key and body, which identifies equal requests of one
    /// client to the quarantine.
    pub(crate) fingerprint: u64,
    /// Identifiers of the prompt's parts that other requests may share, in order.
    pub(crate) shared_parts: Vec<u64>,
    /// Whether another gateway has handed the request over.
    pub(crate) is_forwarded: bool,
    /// Whether the client seems to have been refused before.
    pub(crate) is_return: bool,
    /// What that gateway has sent for the request.
    pub(crate) sends: Sends,
    /// Size of the request, compared to the others of the service.
    pub(crate) size: RequestSize,
    pub(crate) arrived: Millis,
    /// When the client's deadline or the route's timeout expires.
    pub(crate) deadline: Millis,
    /// Whether this gateway may have sent the request to an endpoint or another gateway.
    pub(crate) is_sent: Cell<bool>,
    /// When an endpoint that the request was sent to crashed last.
    pub(crate) last_crash: Cell<Option<Millis>>,
}

impl RequestContext {
    /// Returns the route.
    pub(crate) fn route(&self) -> &Route {
        &self.authorized.route
    }

    /// Returns the name of the workspace; it is empty if the request has none.
    pub(crate) fn workspace(&self) -> &str {
        self.authorized.workspace.as_deref().unwrap_or_default()
    }

    /// Returns the endpoints that may serve the request.
    pub(crate) fn group(&self) -> EndpointGroup {
        EndpointGroup { service: self.service.clone(), build: self.build }
    }

    /// Returns the time until the deadline, in milliseconds.
    pub(crate) fn remaining_ms(&self, now: Millis) -> u64 {
        self.deadline.since(now)
    }
}
