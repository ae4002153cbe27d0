//! Stand-ins for the platform, engines and services.
//!
//! They are meant for tests and local trials only. Each stand-in is a
//! single-threaded HTTP server; `POST /control` injects faults and changes its
//! settings.

pub mod engine;
pub mod platform;
pub mod service;

mod http_util;
