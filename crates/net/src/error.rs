//! The error type of HTTP calls to other processes.

use std::{fmt, io};

/// Alias for a `Result` with the error type [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Category of an [`Error`], which indicates whether the request may have taken
/// effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Category {
    /// No connection was established, so no byte of the request was sent.
    Unreachable,
    /// The request may have taken effect.
    Ambiguous,
    /// The server responded with an error status, which means that it did not carry
    /// out the request.
    Refused,
    /// The response could not be parsed; the request may have taken effect.
    Malformed,
}

/// An error that occurred during a call to another process.
#[derive(Debug)]
pub struct Error {
    code: ErrorCode,
}

#[derive(Debug)]
enum ErrorCode {
    Connect(io::Error),
    ConnectTimeout,
    Timeout,
    Broken(hyper::Error),
    Status(u16),
    Malformed(String),
}

impl Error {
    pub(crate) fn connect(err: io::Error) -> Error {
        Error { code: ErrorCode::Connect(err) }
    }

    pub(crate) fn connect_timeout() -> Error {
        Error { code: ErrorCode::ConnectTimeout }
    }

    pub(crate) fn timeout() -> Error {
        Error { code: ErrorCode::Timeout }
    }

    pub(crate) fn broken(err: hyper::Error) -> Error {
        Error { code: ErrorCode::Broken(err) }
    }

    pub(crate) fn status(status: u16) -> Error {
        Error { code: ErrorCode::Status(status) }
    }

    /// Creates the error for a response that could not be parsed.
    pub fn malformed(reason: impl fmt::Display) -> Error {
        Error { code: ErrorCode::Malformed(reason.to_string()) }
    }

    /// Returns whether the connection was refused, which proves that no process is
    /// listening on the address.
    pub fn is_connection_refused(&self) -> bool {
        let refused = io::ErrorKind::ConnectionRefused;
        matches!(&self.code, ErrorCode::Connect(err) if err.kind() == refused)
    }

    /// Returns the category of the error.
    pub fn category(&self) -> Category {
        match self.code {
            ErrorCode::Connect(_) | ErrorCode::ConnectTimeout => Category::Unreachable,
            ErrorCode::Timeout | ErrorCode::Broken(_) => Category::Ambiguous,
            ErrorCode::Status(_) => Category::Refused,
            ErrorCode::Malformed(_) => Category::Malformed,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.code {
            ErrorCode::Connect(err) => write!(f, "connection failed: {err}"),
            ErrorCode::ConnectTimeout => f.write_str("connection timed out"),
            ErrorCode::Timeout => f.write_str("response timed out"),
            ErrorCode::Broken(err) => write!(f, "connection broken: {err}"),
            ErrorCode::Status(status) => write!(f, "server responded with status {status}"),
            ErrorCode::Malformed(reason) => write!(f, "malformed response: {reason}"),
        }
    }
}

impl std::error::Error for Error {}
