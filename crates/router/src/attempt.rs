//! An attempt to get a response from one endpoint.

use std::{future::Future, pin::Pin};

use mimosaledge_core::endpoints::EndpointId;

/// A request that is sent to one endpoint once its response is polled; dropping it
/// cancels the request there.
pub(crate) struct Attempt<R, E> {
    /// The endpoint.
    pub(crate) endpoint: EndpointId,
    /// Completes with the response, or with the reason that there is none.
    pub(crate) response: Pin<Box<dyn Future<Output = Result<R, E>>>>,
}

impl<R, E> Attempt<R, E> {
    /// Creates an attempt at `endpoint`.
    pub(crate) fn new(
        endpoint: EndpointId,
        response: impl Future<Output = Result<R, E>> + 'static,
    ) -> Attempt<R, E> {
        Attempt { endpoint, response: Box::pin(response) }
    }
}
