//! Errors of calls to the platform's store.

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
    Stale,
}

impl Error {
    /// Creates an error for records that the store no longer retains.
    pub fn expired() -> Error {
        Error { code: ErrorCode::Expired, detail: String::new() }
    }

    /// Creates an error for a response with an unexpected HTTP status.
    pub fn refused(status: u16) -> Error {
        Error { code: ErrorCode::Refused, detail: format!("status {status}") }
    }

    /// Creates an error for a store that did not respond.
    pub fn unreachable(detail: impl fmt::Display) -> Error {
        Error { code: ErrorCode::Unreachable, detail: detail.to_string() }
    }

    /// Creates an error for data that cannot be parsed.
    pub fn malformed(detail: impl fmt::Display) -> Error {
        Error { code: ErrorCode::Malformed, detail: detail.to_string() }
    }

    /// Creates an error for a response of an era before the one already known.
    pub(crate) fn stale(era: u64) -> Error {
        Error { code: ErrorCode::Stale, detail: format!("era {era}") }
    }

    /// Returns whether the records have expired, so that the reader must start
    /// again from the latest ones.
    pub fn is_expired(&self) -> bool {
        self.code == ErrorCode::Expired
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.code {
            ErrorCode::Expired => f.write_str("records have expired"),
            ErrorCode::Refused => write!(f, "store refused the request: {}", self.detail),
            ErrorCode::Unreachable => write!(f, "store did not respond: {}", self.detail),
            ErrorCode::Stale => write!(f, "store answered from before a restore: {}", self.detail),
            ErrorCode::Malformed => write!(f, "malformed store data: {}", self.detail),
        }
    }
}

impl std::error::Error for Error {}
