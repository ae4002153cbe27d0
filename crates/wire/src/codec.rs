//! Encodes and decodes datagrams: a version byte followed by a postcard message.

use std::fmt;

use crate::message::Message;

/// Maximum datagram size, in bytes; it fits an Ethernet frame without IP
/// fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// First byte of every datagram; bumped on each incompatible change of the
/// encoding.
const PROTOCOL_VERSION: u8 = 1;

/// Alias for a `Result` with the error type [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// An error that occurred while encoding or decoding a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// The version byte is not the supported protocol version.
    UnsupportedVersion,
    /// The payload is not a valid message.
    Malformed,
    /// The encoded message exceeds [`MAX_DATAGRAM_BYTES`].
    TooLarge,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Error::UnsupportedVersion => "unsupported datagram version",
            Error::Malformed => "malformed datagram",
            Error::TooLarge => "message too large for a datagram",
        })
    }
}

impl std::error::Error for Error {}

/// Encodes a message as a datagram.
///
/// # Errors
///
/// Returns [`Error::TooLarge`] if the datagram would exceed
/// [`MAX_DATAGRAM_BYTES`].
pub fn encode(message: &Message) -> Result<Vec<u8>> {
    let datagram =
        postcard::to_extend(message, vec![PROTOCOL_VERSION]).map_err(|_| Error::Malformed)?;
    if datagram.len() > MAX_DATAGRAM_BYTES {
        return Err(Error::TooLarge);
    }
    Ok(datagram)
}

/// Decodes a datagram.
///
/// # Errors
///
/// Returns an error if the datagram has another protocol version, is not a
/// valid message, or has trailing bytes.
pub fn decode(datagram: &[u8]) -> Result<Message> {
    let (&version, payload) = datagram.split_first().ok_or(Error::Malformed)?;
    if version != PROTOCOL_VERSION {
        return Err(Error::UnsupportedVersion);
    }
    match postcard::take_from_bytes(payload) {
        Ok((message, [])) => Ok(message),
        _ => Err(Error::Malformed),
    }
}
