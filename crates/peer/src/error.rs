//! Errors of the protocol between gateways.

use std::fmt;

use crate::version::Version;

/// A result of encoding or decoding a message.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a message cannot be encoded or decoded.
#[derive(Debug)]
pub struct Error {
    code: ErrorCode,
}

#[derive(Debug)]
enum ErrorCode {
    Codec(postcard::Error),
    /// The message is one that this build does not know.
    Unknown(Version),
    /// The bytes are no datagram: truncated, garbled, or of a build before all versions.
    Malformed,
    /// The bytes are a message in two versions.
    Ambiguous,
}

impl Error {
    pub(crate) fn codec(cause: postcard::Error) -> Error {
        Error { code: ErrorCode::Codec(cause) }
    }

    pub(crate) fn unknown(version: Version) -> Error {
        Error { code: ErrorCode::Unknown(version) }
    }

    pub(crate) fn malformed() -> Error {
        Error { code: ErrorCode::Malformed }
    }

    pub(crate) fn ambiguous() -> Error {
        Error { code: ErrorCode::Ambiguous }
    }

    /// Returns the cause as a label of a metric.
    pub fn label(&self) -> &'static str {
        match self.code {
            ErrorCode::Codec(_) => "codec",
            ErrorCode::Unknown(_) => "unknown",
            ErrorCode::Malformed => "malformed",
            ErrorCode::Ambiguous => "ambiguous",
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.code {
            ErrorCode::Codec(cause) => write!(f, "codec failed: {cause}"),
            ErrorCode::Unknown(version) => write!(f, "unknown message of version {version}"),
            ErrorCode::Malformed => f.write_str("malformed message"),
            ErrorCode::Ambiguous => f.write_str("message of two versions"),
        }
    }
}

impl std::error::Error for Error {}
