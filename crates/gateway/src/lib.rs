//! The gateway: takes requests from clients and serves them from endpoints.
//!
//! It meets its surroundings through two traits: [`Store`] for the list of
//! endpoints, the configuration and the other gateways, and [`Dialect`] for
//! what stands in requests and answers. A platform's adapter implements both
//! and calls [`run`].
//!
//! | module | part of a request's way |
//! |---|---|
//! | `front` | accepts clients' connections |
//! | `request` | decides whether and how a request is served |
//! | `choice` | chooses an endpoint, or finds that all are full |
//! | `attempts` | sends it to endpoints, one after the other |
//! | `pool`, `fleet` | connections to endpoints, and what is known of these |
//! | `relay` | passes a stream on and resumes it |
//! | `follow`, `peers`, `sync` | keep configuration and endpoints up to date |

mod answer;
mod attempts;
mod caller;
mod choice;
mod clock;
mod dialect;
mod directory;
mod drain;
mod error;
mod exchange;
mod fleet;
mod follow;
mod front;
mod gateway;
mod headers;
mod heartbeat;
mod loads;
mod log_sink;
mod metrics;
mod peers;
mod pool;
mod relay;
mod request;
mod run;
mod settings;
mod socket;
mod store;
mod sync;

pub use crate::{
    answer::{Code, Refusal},
    caller::Caller,
    dialect::{Answer, Ask, Dialect, Forward, PromptPart},
    error::{Error, Result},
    run::run,
    settings::{Bounds, Listen, Settings, StoreSettings},
    store::{GatewayEntry, Page, Record, Store, Topic},
};
