//! Statuses by which a client learns that its request has not run and may be sent again.

use hyper::StatusCode;
use mimosaledge_policy::RetryPolicy;

use crate::request_context::RequestContext;

/// Returns whether a status says that the request has not run.
pub(crate) fn promises_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

/// Returns whether an endpoint that has run the request responds with a status that would let
/// the client of a request that must not run twice send it again.
pub(crate) fn makes_false_promise(context: &RequestContext, status: StatusCode) -> bool {
    context.route().retry == RetryPolicy::Never && promises_not_run(status)
}
