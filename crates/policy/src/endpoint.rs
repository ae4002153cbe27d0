//! What an endpoint says of itself.

use std::net::SocketAddrV4;

use mimosaledge_core::Name;
use serde::{Deserialize, Serialize};

/// Whether an endpoint takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointState {
    /// It takes new work.
    Ready,
    /// It finishes what it runs and then leaves.
    Draining,
}

/// An endpoint's own entry in the platform's list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The endpoint's identifier.
    pub id: Name,
    /// Start time of its process in Unix milliseconds, if it says so.
    pub born: Option<u64>,
    /// The service it belongs to.
    pub service: Name,
    /// Where it listens.
    pub address: SocketAddrV4,
    /// Its data centre.
    pub data_centre: Name,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: EndpointState,
}
