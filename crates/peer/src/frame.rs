//! The footer of a message: the version of the sender's protocol and a checksum.
//!
//! Gateways before [`Version::FOOTER`] ignore the bytes after a message, and send none.

use mimosaledge_core::hash::hash32;
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    error::{Error, Result},
    version::Version,
};

/// Size of the checksum in bytes.
const CHECKSUM_BYTES: usize = 4;

/// A decoded value, and the footer if there is one.
pub(crate) struct Frame<'a, T> {
    pub(crate) value: T,
    /// The bytes between value and footer.
    pub(crate) extension: &'a [u8],
    pub(crate) version: Option<Version>,
}

/// Encodes `value` with the bytes that follow it, if any, and a footer.
pub(crate) fn encode(value: &impl Serialize, extension: &[u8]) -> Result<Vec<u8>> {
    let mut bytes = postcard::to_stdvec(value).map_err(Error::codec)?;
    bytes.extend_from_slice(extension);
    bytes.push(Version::CURRENT.number());
    let checksum = hash32(&bytes);
    bytes.extend(checksum.to_le_bytes());
    Ok(bytes)
}

/// Decodes a value, which a footer must follow unless nothing does.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<Frame<'_, T>> {
    let footer = split_footer(bytes);
    let body = footer.map_or(bytes, |(body, _)| body);
    match (postcard::take_from_bytes(body), footer) {
        // Bytes before the footer that are not known here belong to a later version.
        (Ok((value, extension)), Some((_, version))) => {
            Ok(Frame { value, extension, version: Some(version) })
        }
        (Ok((value, [])), None) => Ok(Frame { value, extension: &[], version: None }),
        (Err(_), Some((_, version))) => Err(Error::unknown(version)),
        (Ok(_) | Err(_), None) => Err(Error::malformed()),
    }
}

/// Splits bytes that end with a valid footer into the part before it and the version.
fn split_footer(bytes: &[u8]) -> Option<(&[u8], Version)> {
    let (signed, checksum) = bytes.split_last_chunk::<CHECKSUM_BYTES>()?;
    if hash32(signed) != u32::from_le_bytes(*checksum) {
        return None;
    }
    let (number, body) = signed.split_last()?;
    let version = Version::from_number(*number);
    (version >= Version::FOOTER).then_some((body, version))
}
