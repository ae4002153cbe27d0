//! Encoding and decoding of datagrams.

use std::fmt;

use crate::message::Message;

/// Largest datagram, in bytes; it fits an Ethernet frame without fragments.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// First byte of every datagram; changes with each incompatible version.
const VERSION: u8 = 1;

/// A result whose error is an [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// The reason that a datagram was not encoded or decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// The first byte is not this version's.
    Version,
    /// The rest is not a message.
    Malformed,
    /// The message does not fit a datagram.
    TooLarge,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Error::Version => "unknown datagram version",
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
/// Returns [`Error::TooLarge`] if the datagram would pass
/// [`MAX_DATAGRAM_BYTES`].
pub fn encode(message: &Message) -> Result<Vec<u8>> {
    let datagram = postcard::to_extend(message, vec![VERSION]).map_err(|_| Error::Malformed)?;
    if datagram.len() > MAX_DATAGRAM_BYTES {
        return Err(Error::TooLarge);
    }
    Ok(datagram)
}

/// Decodes a datagram.
///
/// # Errors
///
/// Returns an error if the datagram is of another version, is not a message,
/// or has bytes left over.
pub fn decode(datagram: &[u8]) -> Result<Message> {
    let (&version, rest) = datagram.split_first().ok_or(Error::Malformed)?;
    if version != VERSION {
        return Err(Error::Version);
    }
    match postcard::take_from_bytes(rest) {
        Ok((message, [])) => Ok(message),
        _ => Err(Error::Malformed),
    }
}
