//! Responses to clients.

use std::rc::Rc;

use hyper::{Response, header::HeaderValue};
use mimosaledge_core::{
    Code, Outcome,
    idempotency::{Answer, KeyPrefix},
    retry_budget::jittered_delay_ms,
};
use mimosaledge_net::server::{ReplyBody, reply};
use serde::Serialize;

use crate::node::Node;

/// Default base of the retry delay suggested to clients, in milliseconds.
const DEFAULT_RETRY_MS: u64 = 200;

/// The body of a response that the router sends in place of an endpoint's, with a
/// result code.
#[derive(Debug, Serialize)]
pub(crate) struct ErrorResponse {
    code: u16,
    outcome: Outcome,
    message: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    key_prefix: Option<String>,
}

impl ErrorResponse {
    /// Creates the body for `code`, with a jittered retry delay if the code is
    /// transient.
    pub(crate) fn new(node: &Node, code: Code) -> ErrorResponse {
        let seed = node.own.incarnation ^ u64::from(node.next_serial());
        let retry_after_ms = is_transient(code).then(|| jittered_delay_ms(DEFAULT_RETRY_MS, seed));
        ErrorResponse {
            code: code.as_u16(),
            outcome: code.outcome(),
            message: code.message(),
            retry_after_ms,
            key_prefix: None,
        }
    }

    /// Sets the retry delay, in milliseconds.
    pub(crate) fn retry_after(mut self, ms: u64) -> ErrorResponse {
        self.retry_after_ms = Some(ms);
        self
    }

    /// Sets the prefix for a new idempotency key.
    pub(crate) fn key_prefix(mut self, prefix: Option<KeyPrefix>) -> ErrorResponse {
        self.key_prefix = prefix.map(|it| it.to_string());
        self
    }

    /// Encodes the body as one line of JSON, without the line break.
    pub(crate) fn to_json(&self) -> Vec<u8> {
        // Serializing numbers and strings does not fail.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Converts the body into an HTTP response with the headers for `code`.
    pub(crate) fn into_response(self, code: Code) -> Response<ReplyBody> {
        let mut response = reply(code.status(), self.to_json());
        set_code(&mut response, code);
        if let Some(ms) = self.retry_after_ms {
            let seconds = HeaderValue::from(ms.div_ceil(1000));
            response.headers_mut().insert("retry-after", seconds);
        }
        response
    }
}

/// Returns whether a later retry can succeed.
fn is_transient(code: Code) -> bool {
    code.as_u16() >= 3000 && !matches!(code, Code::KeySealed | Code::KeyExpired)
}

/// Creates the response for a code with default details.
pub(crate) fn error_response(node: &Node, code: Code) -> Response<ReplyBody> {
    ErrorResponse::new(node, code).into_response(code)
}

/// Creates the response to a repeated request from the stored one.
pub(crate) fn stored_response(node: &Node, answer: &Rc<Answer>) -> Response<ReplyBody> {
    match &answer.body {
        Some(body) => {
            let mut response = reply(answer.status, body.clone());
            set_code(&mut response, Code::DoneKept);
            response
        }
        None => error_response(node, Code::DoneAnswerLost),
    }
}

/// Sets the header with the result code.
pub(crate) fn set_code(response: &mut Response<ReplyBody>, code: Code) {
    response.headers_mut().insert("x-code", HeaderValue::from(code.as_u16()));
}

/// Sets a header, unless the value is not valid in a header.
pub(crate) fn set_header(response: &mut Response<ReplyBody>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}
