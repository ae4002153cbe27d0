//! Messages with which a gateway fetches missing state over TCP, and their encoding.

use mimosaledge_policy::{Endpoint, FleetConfig, Position, endpoints::Change};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{error::Result, frame};

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

/// Encodes a request or response.
///
/// # Errors
///
/// Returns an error if it cannot be encoded.
pub fn encode(message: &impl Serialize) -> Result<Vec<u8>> {
    frame::encode(message, &[])
}

/// Decodes a request or response.
///
/// # Errors
///
/// Returns an error if the bytes are none.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    Ok(frame::decode(bytes)?.value)
}
