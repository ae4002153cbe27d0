//! The endpoint that sends a stream.

use hyper::body::Incoming;
use mimosaledge_core::Millis;

use crate::{
    attempt::OpenResponse, framing::Framing, loads::InFlight, permit::Permit, pool::Connection,
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
    /// Takes the first response to a request.
    pub(crate) fn from_first(open: OpenResponse) -> Upstream {
        let may_end = open.framing != Framing::Connection;
        Upstream::from_open(open, may_end)
    }

    /// Takes a response that resumes a stream.
    ///
    /// An endpoint that has nothing to add to a stream ends it like one with events: an error
    /// without a text has a length.
    pub(crate) fn from_resumed(open: OpenResponse) -> Upstream {
        let may_end = open.framing == Framing::Chunks;
        Upstream::from_open(open, may_end)
    }

    fn from_open(open: OpenResponse, may_end: bool) -> Upstream {
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
