//! What all stand-ins do with requests.

use hyper::{Request, Response, body::Incoming};
use mimosaledge_net::server::{ReplyBody, read_body, reply};
use serde::de::DeserializeOwned;

/// Largest control document, in bytes.
const BODY_LIMIT: usize = 4 << 20;

/// Reads a JSON document and answers with what `apply` makes of it.
pub(crate) async fn take_json<T: DeserializeOwned>(
    request: Request<Incoming>,
    apply: impl FnOnce(T),
) -> Response<ReplyBody> {
    let Ok(body) = read_body(request.into_body(), BODY_LIMIT).await else {
        return reply(400, "broken body");
    };
    match serde_json::from_slice(&body) {
        Ok(document) => {
            apply(document);
            reply(200, "")
        }
        Err(err) => reply(400, err.to_string()),
    }
}

/// Returns the value of `name` in a query string.
pub(crate) fn query<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    query?.split('&').find_map(|pair| pair.split_once('=').filter(|it| it.0 == name)).map(|it| it.1)
}
