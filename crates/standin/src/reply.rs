//! Answers that all stand-ins share.

use hyper::Response;
use mimosaledge_platform::server::{ReplyBody, reply};
use serde::Serialize;

/// Answers with a JSON document.
pub(crate) fn json(value: &(impl Serialize + ?Sized)) -> Response<ReplyBody> {
    match serde_json::to_vec(value) {
        Ok(body) => reply(200, body),
        Err(err) => reply(500, err.to_string()),
    }
}

/// Returns the value of `name` in a query string.
pub(crate) fn query<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    query?.split('&').find_map(|pair| pair.split_once('=').filter(|it| it.0 == name)).map(|it| it.1)
}
