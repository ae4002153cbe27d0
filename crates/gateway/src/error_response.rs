//! Error responses that the gateway itself generates.

use bytes::Bytes;
use hyper::{Response, StatusCode};
use mimosaledge_net::server::{ReplyBody, full_body};

use crate::dialect::Dialect;

/// Why the gateway returns an error instead of an endpoint's response;
/// docs/CODES.md lists the numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u16)]
pub enum Code {
    /// The gateway has not received a configuration yet.
    NoConfig = 3000,
    /// No route matches the request.
    NoRoute = 2001,
    /// The request's API key is missing or belongs to no workspace.
    NoWorkspace = 2002,
    /// The configuration denies the request but may be outdated, so the denial
    /// is not final.
    StaleConfig = 3009,
    /// The request body could not be read.
    BadRequest = 2000,
    /// The request body exceeds the size limit.
    TooLarge = 2004,
    /// No endpoint of the service is available.
    NoEndpoint = 3003,
    /// Every engine is at its load limit, or the service has no room for the request.
    Overloaded = 3002,
    /// Every endpoint selected for the request refused it or was unreachable.
    Refused = 3008,
    /// The deadline passed, or came too close, before the request ran at an
    /// endpoint.
    TooLate = 3010,
    /// The request is quarantined because endpoints crashed while running it.
    Crasher = 3004,
    /// The request resumes a stream, and it is not known which build began it.
    UnknownBuild = 3011,
    /// The gateway shuts down before the request could end.
    Stopping = 3012,
    /// All endpoints for the request are in evacuated data centres.
    Evacuated = 3013,
    /// No endpoint is available in the regions that the request may not leave.
    HomeUnavailable = 3014,
    /// The gateway has no memory left for the request.
    NoMemory = 3015,
    /// The request was sent to an endpoint and its outcome is unknown.
    Unknown = 4001,
    /// The request was sent to an endpoint and the response timed out.
    Timeout = 4003,
}

/// An error response that the gateway sends instead of an endpoint's response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorResponse {
    /// Why the request failed.
    pub code: Code,
    /// Delay after which the client may retry, in milliseconds, or `None` if it
    /// should not retry.
    pub retry_ms: Option<u64>,
}

impl ErrorResponse {
    /// Creates an error response without a retry delay.
    pub fn from_code(code: Code) -> ErrorResponse {
        ErrorResponse { code, retry_ms: None }
    }

    /// Creates an error response for a request that has not run and may be
    /// retried after `retry_ms`.
    pub fn with_retry_after(code: Code, retry_ms: u64) -> ErrorResponse {
        ErrorResponse { code, retry_ms: Some(retry_ms) }
    }

    /// Returns the HTTP status; 429 and 503 mean that the request did not run.
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
            | Code::UnknownBuild
            | Code::Stopping
            | Code::Evacuated
            | Code::HomeUnavailable
            | Code::NoMemory
            | Code::Crasher => 503,
        }
    }

    /// Builds the HTTP response.
    pub(crate) fn to_response(
        self,
        dialect: &dyn Dialect,
        attempt_id: &str,
    ) -> Response<ReplyBody> {
        let body = format!("{{\"code\":{}}}", self.code as u16);
        let mut response = Response::new(full_body(Bytes::from(body)));
        *response.headers_mut() = dialect.encode_error(attempt_id, &self);
        *response.status_mut() =
            StatusCode::from_u16(self.status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
        response
    }
}
