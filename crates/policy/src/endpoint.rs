//! The entry of an endpoint in the platform's list.

use std::net::SocketAddrV4;

use mimosaledge_core::Name;
use serde::{Deserialize, Serialize};

use crate::build_id::build_key;

/// Whether an endpoint accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointState {
    /// It accepts new requests.
    Ready,
    /// It finishes the requests that it runs and then shuts down.
    Draining,
}

/// An endpoint, as it has registered itself in the platform's list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The endpoint's identifier.
    pub id: Name,
    /// Start time of its process in Unix milliseconds, if it is given; tells
    /// incarnations apart.
    pub started_ms: Option<u64>,
    /// The service it belongs to.
    pub service: Name,
    /// The address that it listens on.
    pub address: SocketAddrV4,
    /// Version of its software; a stream cannot move between endpoints of two builds.
    pub build: Name,
    /// The data centre that it runs in.
    pub data_centre: Name,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: EndpointState,
}

impl Endpoint {
    /// Returns a key of the build of the service, the same at every gateway.
    pub fn build_key(&self) -> u64 {
        build_key(&self.service, &self.build)
    }
}
