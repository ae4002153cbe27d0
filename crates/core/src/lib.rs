//! State machines of the mimosaledge router fleet, free of I/O.
//!
//! Each state machine takes typed events and a timestamp, and returns typed
//! decisions. Nothing in this crate opens a socket, reads the clock or uses a
//! global random number generator, so tests and replay tools run the same code
//! as production.
//!
//! | module | purpose |
//! |---|---|
//! | [`config`] | parses and validates configurations |
//! | [`head`] | derives the active configuration from log records |
//! | [`placement`] | ranks the engines for a chat |
//! | [`admission`] | admits work to one engine within its load bound |
//! | [`idempotency`] | runs a non-idempotent request at most once |
//! | [`members`] | tracks live routers by gossip |
//! | [`endpoints`] | tracks engines and services and their health |
//! | [`quarantine`] | blocks requests that crash endpoints |
//! | [`retry_budget`] | limits retries per workspace |
//! | [`lease`] | decides which process may send orders to engines |
//! | [`orders`] | derives the orders that bring engines to the configured state |
//! | [`chart`] | interprets the state charts under `charts/` |

pub mod admission;
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
pub mod retry_budget;
pub mod time;

pub use crate::{
    code::{Code, Outcome},
    name::Name,
    time::Millis,
};
