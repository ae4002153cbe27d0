//! The operators' command line.
//!
//! Publishes configurations, switches presets, checks files and queries
//! routers. An operator may use any router: each of them reports the head of
//! the configuration log, and the log's order decides which of several
//! concurrent changes is accepted.

pub mod check;
pub mod explain;
pub mod output;
pub mod publish;
pub mod routers;
