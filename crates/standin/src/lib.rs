//! Stand-ins, which emulate the platform, engines and services; only for tests and
//! local trials.
//!
//! Each stand-in is a single-threaded HTTP server; `POST /control` injects faults
//! and changes its settings.

pub mod engine;
pub mod platform;
pub mod service;

mod http_util;
