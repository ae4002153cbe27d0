//! Stand-ins for the platform and the endpoints.
//!
//! They serve tests and first runs only. Each is one HTTP server on one thread
//! whose faults are switched on through `POST /control`.

pub mod engine;
pub mod platform;
pub mod service;

mod reply;
