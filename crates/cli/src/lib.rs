//! The operators' command line.
//!
//! Publishes configurations, switches presets, checks files, queries routers and
//! explains requests from their logs. An operator may use any router, since each
//! one reports the head of the configuration log. The order of the log decides
//! which of several concurrent changes is accepted.

pub mod check;
pub mod explain;
pub mod output;
pub mod publish;
pub mod routers;
