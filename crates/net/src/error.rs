//! The error of the platform's clients.

use std::{fmt, io};

/// A result whose error is an [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// What a caller can do about an [`Error`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Category {
    /// No byte of the request left this process.
    Unreachable,
    /// The request may have taken effect.
    Ambiguous,
    /// The server answered that it did not carry the request out.
    Refused,
    /// The answer could not be understood.
    Malformed,
}

/// The failure of a call to another process.
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

    /// Creates the error for an answer that could not be understood.
    pub fn malformed(what: impl fmt::Display) -> Error {
        Error { code: ErrorCode::Malformed(what.to_string()) }
    }

    /// Returns whether the connection was refused, which proves that no process
    /// listens.
    pub fn is_refused_connection(&self) -> bool {
        let refused = io::ErrorKind::ConnectionRefused;
        matches!(&self.code, ErrorCode::Connect(err) if err.kind() == refused)
    }

    /// Returns what a caller can do about the error.
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
            ErrorCode::Timeout => f.write_str("answer timed out"),
            ErrorCode::Broken(err) => write!(f, "connection broke: {err}"),
            ErrorCode::Status(status) => write!(f, "server answered status {status}"),
            ErrorCode::Malformed(what) => write!(f, "malformed answer: {what}"),
        }
    }
}

impl std::error::Error for Error {}
