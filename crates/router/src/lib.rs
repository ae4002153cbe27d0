//! The mimosaledge router.
//!
//! A router is one loop on one thread. Its decisions are made by the cores of
//! `mimosaledge-core`; the modules here only move bytes between them, callers,
//! endpoints, peers and the platform.
//!
//! | module | task |
//! |---|---|
//! | `front` | takes callers' requests apart and dispatches them |
//! | `placement` | chooses an engine |
//! | `start`, `run` | send a request to an engine, with retries |
//! | `stream`, `relay` | stream the answer, resuming where it breaks |
//! | `once` | runs non-idempotent requests at most once |
//! | `admission`, `loads` | let requests in at engines, through their admission homes |
//! | `peer` | exchanges datagrams with other routers |
//! | `follow` | follows the platform's log and VM list |
//! | `probe` | probes the endpoints that this router is home of |
//! | `ready` | begins to serve once enough of the fleet is known |
//! | `drain` | carries a planned stop out |

mod admission;
mod answer;
mod deaths;
mod drain;
mod follow;
mod forward;
mod front;
mod generate;
mod gossip;
mod loads;
mod locate;
mod metrics;
mod node;
mod once;
pub mod ops;
mod peer;
mod pending;
mod placement;
mod probe;
mod ready;
mod relay;
mod request;
mod run;
mod service;
pub mod settings;
mod start;
mod stream;

pub use crate::{
    drain::StopHandle,
    node::{Node, Sockets},
    settings::Settings,
};
