//! Encoding and decoding of datagrams.

use serde::de::DeserializeOwned;

use crate::{
    error::{Error, Result},
    frame::{self, Frame},
    message::Message,
    old_heartbeat::OldHeartbeat,
    version::Version,
};

/// Tag of a heartbeat, the first byte of its encoding in all versions.
const HEARTBEAT_TAG: u8 = 0;

/// A received datagram.
#[derive(Debug, Clone, PartialEq)]
pub struct Datagram {
    /// The message.
    pub message: Message,
    /// The version that the sender speaks, as far as this datagram shows.
    pub version: Version,
}

/// Encodes a message for gateways of `version`.
///
/// Returns `None` if they do not know it.
///
/// # Errors
///
/// Returns an error if the message cannot be encoded.
pub fn encode(message: &Message, version: Version) -> Result<Option<Vec<u8>>> {
    if version < message.since() {
        return Ok(None);
    }
    if let (Message::Heartbeat(heartbeat), false) = (message, version.has_permits()) {
        let mut bytes = vec![HEARTBEAT_TAG];
        let old = OldHeartbeat::from(&**heartbeat);
        bytes.extend(postcard::to_stdvec(&old).map_err(Error::codec)?);
        return Ok(Some(bytes));
    }
    frame::encode(message, &encode_extension(message)?).map(Some)
}

/// Encodes what follows the layout of a message.
fn encode_extension(message: &Message) -> Result<Vec<u8>> {
    match message {
        Message::Heartbeat(it) if !it.extension.is_empty() => {
            postcard::to_stdvec(&(&it.unreached, &it.extension)).map_err(Error::codec)
        }
        Message::Heartbeat(it) if !it.unreached.is_empty() => {
            postcard::to_stdvec(&it.unreached).map_err(Error::codec)
        }
        Message::PermitRequest(request) if request.warmup_ms > 0 => {
            postcard::to_stdvec(&[request.warmup_ms].as_slice()).map_err(Error::codec)
        }
        _ => Ok(Vec::new()),
    }
}

/// Adds to a message of `version` what follows its layout; what a later version has put there
/// instead is ignored.
fn apply_extension(message: &mut Message, extension: &[u8], version: Version) {
    let is_extended = version >= Version::EXTENSIONS;
    match message {
        Message::Heartbeat(heartbeat) => {
            let (unreached, rest) = take_or_default(extension);
            heartbeat.unreached = unreached;
            if is_extended {
                heartbeat.extension = take_or_default(rest).0;
            }
        }
        Message::PermitRequest(request) if is_extended => {
            let (left_ms, _): (Vec<u32>, _) = take_or_default(extension);
            request.warmup_ms = left_ms.first().copied().unwrap_or_default();
        }
        _ => {}
    }
}

/// Decodes a value and returns the bytes after it, or the default if there is none.
fn take_or_default<T: DeserializeOwned + Default>(bytes: &[u8]) -> (T, &[u8]) {
    postcard::take_from_bytes(bytes).unwrap_or_default()
}

/// Decodes a datagram of any version; `sender` is the version that its sender has spoken
/// before, if it has.
///
/// # Errors
///
/// Returns an error if it is no message, or one that this build does not know, or if it is a
/// message in two versions, of which the sender has spoken neither.
pub fn decode(bytes: &[u8], sender: Option<Version>) -> Result<Datagram> {
    let message = match frame::decode(bytes) {
        Ok(Frame { value: mut message, extension, version: Some(version) }) => {
            if version >= Version::REACH {
                apply_extension(&mut message, extension, version);
            }
            return Ok(Datagram { message, version });
        }
        Ok(Frame { value, version: None, .. }) => Ok(value),
        Err(err) => Err(err),
    };
    let old = decode_old_heartbeat(bytes).map(|it| Datagram {
        message: Message::Heartbeat(Box::new(it.into())),
        version: Version::BEFORE_PERMITS,
    });
    let unframed = message.map(|message| Datagram { message, version: Version::BEFORE_FOOTER });
    match (unframed, old) {
        (Ok(unframed), Some(old)) => [unframed, old]
            .into_iter()
            .find(|it| Some(it.version) == sender)
            .ok_or_else(Error::ambiguous),
        (Ok(unframed), None) => Ok(unframed),
        (Err(_), Some(old)) => Ok(old),
        (Err(err), None) => Err(err),
    }
}

/// Decodes a heartbeat of a gateway that knows no permits; it takes the whole datagram.
fn decode_old_heartbeat(bytes: &[u8]) -> Option<OldHeartbeat> {
    let (&HEARTBEAT_TAG, rest) = bytes.split_first()? else { return None };
    match postcard::take_from_bytes(rest) {
        Ok((heartbeat, [])) => Some(heartbeat),
        _ => None,
    }
}
