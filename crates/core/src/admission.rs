//! Admission control for one engine, which keeps it within its load bound.
//!
//! One router at a time, the engine's *admission home*, decides which requests
//! the engine may run. It gives a *grant* to each request that it admits and
//! counts the grants until they are released or expire. The bound therefore
//! holds even if the engine's load reports are stale and many routers send
//! requests concurrently.

mod controller;
mod request;
mod wait_queue;

pub use self::{
    controller::AdmissionController,
    request::{AdmissionId, AdmissionRequest, Decision, Limits},
};
