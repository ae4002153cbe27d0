//! HTTP helpers shared by the stand-ins.

use hyper::{Request, Response, body::Incoming};
use mimosaledge_net::server::{ReplyBody, read_body, reply};
use serde::de::DeserializeOwned;

/// Maximum size of a control document.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Parses the request body as JSON and passes it to `apply`.
///
/// Responds with status 200, or with 400 if the body cannot be read or parsed.
pub(crate) async fn apply_json<T: DeserializeOwned>(
    request: Request<Incoming>,
    apply: impl FnOnce(T),
) -> Response<ReplyBody> {
    let Ok(body) = read_body(request.into_body(), MAX_BODY_BYTES).await else {
        return reply(400, "cannot read request body");
    };
    match serde_json::from_slice(&body) {
        Ok(document) => {
            apply(document);
            reply(200, "")
        }
        Err(err) => reply(400, err.to_string()),
    }
}

/// Returns the value of the query parameter `name`.
pub(crate) fn query_param<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    query?.split('&').find_map(|pair| pair.split_once('=').filter(|it| it.0 == name)).map(|it| it.1)
}
