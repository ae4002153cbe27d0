//! The operators' command line.
//!
//! Operators publish configurations and switch presets without knowing which
//! router holds what: any router tells the head, and the platform's log
//! decides who wins.

pub mod check;
pub mod explain;
pub mod output;
pub mod publish;
pub mod routers;
