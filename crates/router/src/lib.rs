//! The mimosaledge router.
//!
//! A router runs all its tasks on one thread. The state machines of
//! `mimosaledge-core` make its decisions and do no I/O; the modules here connect
//! them to clients, endpoints, peers and the platform.
//!
//! | module | purpose |
//! |---|---|
//! | `api`, `request` | read client requests and dispatch them |
//! | `placement` | selects an engine |
//! | `start`, `run` | send a request to an engine, with retries |
//! | `silence`, `attempt` | give up a silent endpoint only for another one |
//! | `stream`, `token_reader` | stream the response and resume it after a failure |
//! | `idempotency` | runs non-idempotent requests at most once |
//! | `admission`, `loads` | admit requests to engines through their admission homes |
//! | `peer`, `gossip` | exchange datagrams with other routers |
//! | `follow` | polls the platform's log and VM list, and peers with newer state |
//! | `probe` | health-checks the endpoints whose admission home is this router |
//! | `ready` | decides when a started router begins to serve |
//! | `drain` | shuts the router down gracefully |

mod admission;
mod api;
mod attempt;
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
mod silence;
mod start;
mod stream;
mod token_reader;

pub use crate::{
    drain::StopHandle,
    node::{Node, Sockets},
    settings::Settings,
};
