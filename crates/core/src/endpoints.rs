//! Table of known endpoints and their health.

mod endpoint;
mod table;

pub use self::{
    endpoint::{Endpoint, EndpointId, EndpointInfo, EndpointKind, LoadReport},
    table::Endpoints,
};
