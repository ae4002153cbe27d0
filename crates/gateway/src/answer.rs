//! Answers of the gateway's own.

use bytes::Bytes;
use hyper::{Response, StatusCode};
use mimosaledge_net::server::{ReplyBody, full_body};

use crate::dialect::Dialect;

/// Why the gateway answers in an endpoint's place; docs/CODES.md lists the
/// numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u16)]
pub enum Code {
    /// The gateway knows no configuration yet.
    NoConfig = 3000,
    /// No route matches the request.
    NoRoute = 2001,
    /// The request's key names no workspace.
    NoWorkspace = 2002,
    /// The configuration may be out of date, so a denial would be a guess.
    StaleConfig = 3009,
    /// The request cannot be understood.
    BadRequest = 2000,
    /// The body is larger than allowed.
    TooLarge = 2004,
    /// No endpoint of the service can be reached.
    NoEndpoint = 3003,
    /// Every engine is at its load limit.
    Overloaded = 3002,
    /// Every endpoint that was asked refused the request.
    Refused = 3008,
    /// Time ran out before the request was sent to an endpoint.
    TooLate = 3010,
    /// The request has crashed the endpoints that ran it.
    Crasher = 3004,
    /// The request was sent and its outcome is unknown.
    Unknown = 4001,
    /// The request was sent and not answered in time.
    Timeout = 4003,
}

/// A final answer that is not an endpoint's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub code: Code,
    /// When the client may come back, in milliseconds, if it may.
    pub retry_ms: Option<u64>,
}

impl Refusal {
    /// Makes a refusal that asks the client not to come back.
    pub fn from_code(code: Code) -> Refusal {
        Refusal { code, retry_ms: None }
    }

    /// Makes a refusal of a request that has not run, and says when to come
    /// back.
    pub fn come_back(code: Code, retry_ms: u64) -> Refusal {
        Refusal { code, retry_ms: Some(retry_ms) }
    }

    /// Returns the HTTP status; 429 and 503 state that the request did not run.
    pub fn status(&self) -> u16 {
        match self.code {
            Code::NoRoute => 404,
            Code::NoWorkspace => 401,
            Code::BadRequest => 400,
            Code::TooLarge => 413,
            Code::Unknown => 502,
            Code::Timeout => 504,
            Code::NoConfig
            | Code::StaleConfig
            | Code::NoEndpoint
            | Code::Overloaded
            | Code::Refused
            | Code::TooLate
            | Code::Crasher => 503,
        }
    }

    /// Makes the HTTP answer.
    pub(crate) fn to_response(self, dialect: &dyn Dialect, attempt: &str) -> Response<ReplyBody> {
        let text = format!("{{\"code\":{}}}", self.code as u16);
        let mut response = Response::new(full_body(Bytes::from(text)));
        *response.headers_mut() = dialect.encode_refusal(attempt, &self);
        *response.status_mut() =
            StatusCode::from_u16(self.status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
        response
    }
}
