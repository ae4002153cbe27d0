//! The mimosaledge router.
//!
//! A router is one loop on one thread. Its decisions are made by the cores of
//! `mimosaledge-core`; the modules here only move bytes between them, callers,
//! endpoints, peers and the platform.
//!
//! | module | task |
//! |---|---|
//! | `api` | takes callers' requests apart and dispatches them |
//! | `placement` | chooses an engine |
//! | `start`, `run` | send a request to an engine, with retries |
//! | `stream`, `token_reader` | stream the response, resuming it if it is interrupted |
//! | `idempotency` | runs non-idempotent requests at most once |
//! | `admission`, `loads` | let requests in at engines, through their admission homes |
//! | `peer` | exchanges datagrams with other routers |
//! | `follow` | follows the platform's log and VM list |
//! | `probe` | probes the endpoints that this router is home of |
//! | `ready` | begins to serve once enough of the fleet is known |
//! | `drain` | carries a planned stop out |

mod admission;
mod api;
mod crashes;
mod drain;
mod follow;
mod forward;
mod generate;
mod gossip;
mod idempotency;
mod loads;
mod locate;
mod metrics;
mod node;
pub mod ops;
mod peer;
mod pending;
mod placement;
mod probe;
mod ready;
mod request;
mod response;
mod run;
mod service;
pub mod settings;
mod start;
mod stream;
mod token_reader;

pub use crate::{
    drain::StopHandle,
    node::{Node, Sockets},
    settings::Settings,
};
