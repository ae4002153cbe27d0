//! Replays recorded traces through a running fleet and prints the measures.
//!
//! | module | task |
//! |---|---|
//! | [`trace`] | the trace format |
//! | [`workload`] | generates traces from a seed |
//! | [`caller`] | acts as a caller: locate, request, checks, retries |
//! | [`driver`] | replays a trace |
//! | [`sampler`] | samples engines and routers during a run |
//! | [`measures`] | the results, as JSON and as a table |
//! | [`outcomes`] | outcomes stated for a trace |
//! | [`plot`] | load and reuse curves |
//! | [`latency`] | cost of the path against a direct call |

pub mod caller;
pub mod driver;
pub mod latency;
pub mod measures;
pub mod outcomes;
pub mod plot;
pub mod sampler;
pub mod tally;
pub mod trace;
pub mod workload;
