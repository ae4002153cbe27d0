//! Errors of policy settings.

use std::fmt;

/// A result of a check of policy settings.
pub type Result<T> = std::result::Result<T, Error>;

/// Why policy settings are invalid.
#[derive(Debug, Clone, PartialEq)]
pub struct Error {
    code: ErrorCode,
}

#[derive(Debug, Clone, PartialEq)]
enum ErrorCode {
    OutOfRange { key: &'static str, value: f64, min: f64, max: f64 },
}

impl Error {
    pub(crate) fn out_of_range(key: &'static str, value: f64, min: f64, max: f64) -> Error {
        Error { code: ErrorCode::OutOfRange { key, value, min, max } }
    }

    /// Returns the key of the invalid setting.
    pub fn key(&self) -> &'static str {
        match self.code {
            ErrorCode::OutOfRange { key, .. } => key,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.code {
            ErrorCode::OutOfRange { key, value, min, max } => {
                write!(f, "policy.{key} is {value}, allowed is {min} to {max}")
            }
        }
    }
}

impl std::error::Error for Error {}
