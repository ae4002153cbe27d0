//! Generates traces, replays them through a running fleet and computes measures.
//!
//! | module | purpose |
//! |---|---|
//! | [`trace`] | the trace format |
//! | [`workload`] | generates traces from a seed |
//! | [`client`] | locates routers, sends requests, validates responses |
//! | [`driver`] | replays a trace, with retries |
//! | [`tally`] | counters of a replay |
//! | [`sampler`] | reads loads and totals of engines, services and routers |
//! | [`measures`] | computes the results, as JSON and as a table |
//! | [`targets`] | targets that the measures must meet |
//! | [`plot`] | plots engine loads over time |
//! | [`latency`] | measures the latency that a router adds |

pub mod client;
pub mod driver;
pub mod latency;
pub mod measures;
pub mod plot;
pub mod sampler;
pub mod tally;
pub mod targets;
pub mod trace;
pub mod workload;
