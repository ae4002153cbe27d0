//! What arrives of a stream from an endpoint.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use mimosaledge_policy::events::EventSplitter;

use crate::silence::Received;

/// What an endpoint has sent of a stream.
pub(crate) enum Arrival {
    /// Complete events.
    Events(Bytes),
    /// The end, after a complete event.
    End,
    /// The end, inside an event.
    Cut,
    /// An event that cannot follow the last one.
    Invalid,
    /// The connection was lost.
    Broken(hyper::Error),
}

impl Arrival {
    /// Reads until events are complete, or until the stream ends.
    pub(crate) async fn read(body: &mut Incoming, splitter: &mut EventSplitter) -> Arrival {
        let mut events = Vec::new();
        while events.is_empty() {
            if splitter.has_failed() {
                return Arrival::Invalid;
            }
            let frame = match body.frame().await {
                Some(Ok(frame)) => frame,
                Some(Err(err)) => return Arrival::Broken(err),
                None if splitter.is_at_boundary() => return Arrival::End,
                None => return Arrival::Cut,
            };
            let Ok(data) = frame.into_data() else { continue };
            // What comes before an invalid event is delivered first.
            let _ = splitter.push(&data, &mut events);
        }
        Arrival::Events(events.into())
    }
}

impl Received for Arrival {
    /// Returns whether the stream goes on or is complete.
    fn is_success(&self) -> bool {
        matches!(self, Arrival::Events(_) | Arrival::End)
    }

    fn is_from_endpoint(&self) -> bool {
        !matches!(self, Arrival::Broken(_))
    }
}
