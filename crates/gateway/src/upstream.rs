//! The endpoint that sends a stream.

use hyper::body::Incoming;
use mimosaledge_core::Millis;
use mimosaledge_policy::RetryPolicy;

use crate::{
    attempt::OpenResponse, framing::Framing, in_flight::InFlight, permit::Permit, pool::Connection,
};

/// The response of the endpoint that currently sends the stream.
pub(crate) struct Upstream {
    pub(crate) in_flight: InFlight,
    /// Held until the stream ends.
    _permit: Permit,
    /// When the head of its response was received.
    pub(crate) received: Millis,
    pub(crate) connection: Option<Connection>,
    pub(crate) body: Incoming,
    /// Whether the endpoint closes the connection after the stream.
    pub(crate) closing: bool,
    /// Whether the endpoint may end the stream here; false before the first event if the response
    /// may be none that a stream ends with.
    pub(crate) may_end: bool,
}

impl Upstream {
    /// Takes the response of an endpoint to a request, the first one or one that resumes its
    /// stream.
    ///
    /// An endpoint that has nothing to add to a stream ends it like one with events: an error
    /// without a text has a length. What cannot be sent again is the client's as it is, unless
    /// its head may have broken off.
    pub(crate) fn from_response(open: OpenResponse, retry: RetryPolicy) -> Upstream {
        let may_end = match (open.framing, retry) {
            (Framing::Chunks, _) | (Framing::Length, RetryPolicy::Never) => true,
            (Framing::Length, _) | (Framing::Connection, _) => false,
        };
        Upstream {
            in_flight: open.in_flight,
            _permit: open.permit,
            received: open.received,
            connection: Some(open.connection),
            body: open.body,
            closing: open.metadata.closing,
            may_end,
        }
    }
}
