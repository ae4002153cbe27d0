//! Admission control for one engine, which keeps it within its load bound.
//!
//! One router at a time, the engine's *admission home*, decides which requests
//! the engine may run. It counts every request that it admits, so the bound
//! holds regardless of how stale the engine's load reports are and of how many
//! routers send requests concurrently.

mod controller;
mod request;
mod wait_queue;

pub use self::{
    controller::AdmissionController,
    request::{AdmissionId, AdmissionRequest, Decision, Limits},
};
