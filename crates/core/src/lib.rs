//! Decision cores of the mimosaledge router fleet.
//!
//! Every core is a plain state machine: it takes typed events and a clock
//! reading, and returns typed decisions. Nothing here opens a socket, reads the
//! wall clock or draws from a global random source, so that tests and replay
//! tools drive the code that ships.
//!
//! | module | decision |
//! |---|---|
//! | [`config`] | parses and checks an operator's configuration |
//! | [`head`] | folds log records into the configuration in force |
//! | [`placement`] | ranks the engines for a chat |
//! | [`admission`] | admits requests to one engine within its load bound |
//! | [`idempotency`] | runs a non-idempotent request at most once |
//! | [`members`] | tracks the routers that are alive |
//! | [`endpoints`] | tracks engines and services and their health |
//! | [`quarantine`] | stops requests that crash endpoints |
//! | [`budget`] | limits retries per workspace |
//! | [`lease`] | elects the steward that gives orders to engines |
//! | [`orders`] | compares engine state with the configuration |
//! | [`chart`] | interprets the state charts under `charts/` |

pub mod admission;
pub mod budget;
pub mod chart;
pub mod code;
pub mod config;
pub mod endpoints;
pub mod hash;
pub mod head;
pub mod idempotency;
pub mod lease;
pub mod members;
pub mod name;
pub mod orders;
pub mod placement;
pub mod quarantine;
pub mod record;
pub mod time;

pub use crate::{
    code::{Code, Outcome},
    name::Name,
    time::Millis,
};
