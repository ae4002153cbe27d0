//! Which responses may continue a stream, rather than tell of an error.

use hyper::{
    HeaderMap,
    header::{CONTENT_TYPE, HeaderValue},
};
use mimosaledge_policy::RetryPolicy;

use crate::{attempt::OpenResponse, request_context::RequestContext};

/// Media type of event streams.
const EVENT_STREAM: &str = "text/event-stream";

/// Returns whether a successful response may be what a request asks for: one that resumes its
/// client's stream gets events, and nothing that reads like them.
pub(crate) fn may_answer(context: &RequestContext, open: &OpenResponse) -> bool {
    let is_resume =
        context.route().retry == RetryPolicy::Resume && context.metadata.last_event.is_some();
    !is_resume || has_events(&open.head.headers)
}

/// Returns whether a response may follow the part of a stream that was sent with `content_type`.
pub(crate) fn may_follow(open: &OpenResponse, content_type: Option<&HeaderValue>) -> bool {
    open.head.status.is_success() && open.head.headers.get(CONTENT_TYPE) == content_type
}

/// Returns whether the type of the content is that of event streams.
fn has_events(headers: &HeaderMap) -> bool {
    let content_type = headers.get(CONTENT_TYPE).and_then(|it| it.to_str().ok());
    let media_type = content_type.and_then(|it| it.split(';').next()).unwrap_or_default();
    media_type.trim().eq_ignore_ascii_case(EVENT_STREAM)
}
