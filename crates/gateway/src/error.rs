//! Failures of the platform's store.

use std::fmt;

/// A result of a call to the store.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    code: ErrorCode,
    detail: String,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ErrorCode {
    Expired,
    Refused,
    Unreachable,
    Malformed,
}

impl Error {
    /// The records asked for are no longer kept.
    pub fn expired() -> Error {
        Error { code: ErrorCode::Expired, detail: String::new() }
    }

    /// The store answered, but did not do what was asked.
    pub fn refused(status: u16) -> Error {
        Error { code: ErrorCode::Refused, detail: format!("status {status}") }
    }

    /// The store did not answer.
    pub fn unreachable(detail: impl fmt::Display) -> Error {
        Error { code: ErrorCode::Unreachable, detail: detail.to_string() }
    }

    /// The store's answer cannot be read.
    pub fn malformed(detail: impl fmt::Display) -> Error {
        Error { code: ErrorCode::Malformed, detail: detail.to_string() }
    }

    /// Returns whether reading must start anew from the newest records.
    pub fn is_expired(&self) -> bool {
        self.code == ErrorCode::Expired
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.code {
            ErrorCode::Expired => f.write_str("records expired"),
            ErrorCode::Refused => write!(f, "store refused the call: {}", self.detail),
            ErrorCode::Unreachable => write!(f, "store did not answer: {}", self.detail),
            ErrorCode::Malformed => write!(f, "malformed answer of the store: {}", self.detail),
        }
    }
}

impl std::error::Error for Error {}
