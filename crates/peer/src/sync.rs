//! Messages with which a gateway fetches missing state over TCP, and their encoding.

use mimosaledge_policy::{Endpoint, FleetConfig, Position, endpoints::Change};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    error::{Error, Result},
    frame::{self, Frame},
    version::Version,
};

/// The state that the requesting gateway has.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// Version of its configuration.
    pub version: u64,
    /// Position up to which its endpoint list was read.
    pub position: Position,
    /// Digest of its endpoint list.
    pub digest: u64,
}

/// The endpoint list, relative to that of the requesting gateway.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ListUpdate {
    /// The requesting gateway's list is at least as new.
    Unchanged,
    /// Changes since the requesting gateway's list.
    Changes(Vec<Change>),
    /// The whole list.
    Full(Vec<Endpoint>),
}

/// The state that the requesting gateway is missing.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SyncResponse {
    /// The configuration, if it is newer.
    pub config: Option<FleetConfig>,
    /// The endpoint list.
    pub list: ListUpdate,
    /// Position up to which it was read.
    pub position: Position,
    /// Time since the list was last known to be current, in milliseconds.
    pub age_ms: u64,
}

/// A request or response, and what follows its layout.
pub trait SyncMessage: Serialize + DeserializeOwned {
    /// Encodes what follows the layout.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot be encoded.
    fn encode_extension(&self) -> Result<Vec<u8>> {
        Ok(Vec::new())
    }

    /// Adds what follows the layout.
    fn apply_extension(&mut self, _extension: &[u8]) {}
}

impl SyncMessage for SyncRequest {}

impl SyncMessage for SyncResponse {
    fn encode_extension(&self) -> Result<Vec<u8>> {
        match &self.config {
            Some(config) if !config.extension.is_empty() => {
                postcard::to_stdvec(&config.extension).map_err(Error::codec)
            }
            _ => Ok(Vec::new()),
        }
    }

    fn apply_extension(&mut self, extension: &[u8]) {
        if let (Some(config), Ok((it, _))) =
            (&mut self.config, postcard::take_from_bytes(extension))
        {
            config.extension = it;
        }
    }
}

/// Encodes a request or response.
///
/// # Errors
///
/// Returns an error if it cannot be encoded.
pub fn encode(message: &impl SyncMessage) -> Result<Vec<u8>> {
    frame::encode(message, &message.encode_extension()?)
}

/// Decodes a request or response.
///
/// # Errors
///
/// Returns an error if the bytes are none.
pub fn decode<T: SyncMessage>(bytes: &[u8]) -> Result<T> {
    let Frame { value: mut message, extension, version } = frame::decode::<T>(bytes)?;
    if version.is_some_and(|it| it >= Version::EXTENSIONS) {
        message.apply_extension(extension);
    }
    Ok(message)
}
