//! Answers to callers.

use std::rc::Rc;

use hyper::{Response, header::HeaderValue};
use mimosaledge_core::{
    Code, Outcome,
    budget::jittered_wait,
    idempotency::{Answer, KeyPrefix},
};
use mimosaledge_net::server::{ReplyBody, reply};
use serde::Serialize;

use crate::node::Node;

/// Come-back time when nothing better is known, in milliseconds.
const RETRY_MS: u64 = 200;

/// The body of an answer that is not a request's own.
#[derive(Debug, Serialize)]
pub(crate) struct Refusal {
    code: u16,
    outcome: Outcome,
    message: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    key_prefix: Option<String>,
}

impl Refusal {
    /// Creates a refusal; codes that may pass carry a jittered come-back time.
    pub(crate) fn new(node: &Node, code: Code) -> Refusal {
        let seed = node.own.incarnation ^ u64::from(node.next_serial());
        let retry_after_ms = may_pass(code).then(|| jittered_wait(RETRY_MS, seed));
        Refusal {
            code: code.as_u16(),
            outcome: code.outcome(),
            message: code.message(),
            retry_after_ms,
            key_prefix: None,
        }
    }

    /// Sets when to come back, in milliseconds.
    pub(crate) fn retry_after(mut self, ms: u64) -> Refusal {
        self.retry_after_ms = Some(ms);
        self
    }

    /// Adds a fresh key prefix for the next attempt.
    pub(crate) fn key_prefix(mut self, prefix: Option<KeyPrefix>) -> Refusal {
        self.key_prefix = prefix.map(|it| it.to_string());
        self
    }

    /// Encodes the refusal as one line of JSON.
    pub(crate) fn to_json(&self) -> Vec<u8> {
        // The fields are numbers and strings, whose encoding cannot fail.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Converts the refusal into a response.
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

/// Returns whether asking again later can succeed.
fn may_pass(code: Code) -> bool {
    code.as_u16() >= 3000 && !matches!(code, Code::KeySealed | Code::KeyExpired)
}

/// Makes the response for a code that needs no further detail.
pub(crate) fn refuse(node: &Node, code: Code) -> Response<ReplyBody> {
    Refusal::new(node, code).into_response(code)
}

/// Makes the response that delivers a kept answer.
pub(crate) fn kept(node: &Node, answer: &Rc<Answer>) -> Response<ReplyBody> {
    match &answer.body {
        Some(body) => {
            let mut response = reply(answer.status, body.clone());
            set_code(&mut response, Code::DoneKept);
            response
        }
        None => refuse(node, Code::DoneAnswerLost),
    }
}

/// Adds the code's number to a response.
pub(crate) fn set_code(response: &mut Response<ReplyBody>, code: Code) {
    response.headers_mut().insert("x-code", HeaderValue::from(code.as_u16()));
}

/// Adds a header whose value is known to be ASCII; others are left out.
pub(crate) fn set_header(response: &mut Response<ReplyBody>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}
