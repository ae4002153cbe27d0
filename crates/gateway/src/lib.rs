//! The gateway: takes requests from clients and serves them from endpoints.
//!
//! It meets its surroundings through two traits: [`Store`] for the list of
//! endpoints, the configuration and the other gateways, and [`Dialect`] for
//! what stands in requests and answers. A platform's adapter implements both
//! and calls [`run`].
//!
//! | module | part of a request's way |
//! |---|---|
//! | `listener` | accepts clients' connections |
//! | `request` | decides whether and how a request is served |
//! | `selection` | chooses an endpoint, or finds that all are full |
//! | `attempts` | sends it to endpoints, one after the other |
//! | `pool`, `fleet` | connections to endpoints, and what is known of these |
//! | `relay` | passes a stream on and resumes it |
//! | `follow`, `peers`, `sync` | keep configuration and endpoints up to date |

mod attempts;
mod clock;
mod dialect;
mod directory;
mod drain;
mod error;
mod error_response;
mod exchange;
mod fleet;
mod follow;
mod gateway;
mod headers;
mod heartbeat;
mod http_client;
mod listener;
mod loads;
mod log_sink;
mod metrics;
mod peers;
mod pool;
mod relay;
mod request;
mod run;
mod selection;
mod settings;
mod socket;
mod store;
mod sync;

pub use crate::{
    dialect::{Dialect, ForwardMetadata, PromptPart, RequestMetadata, ResponseMetadata},
    error::{Error, Result},
    error_response::{Code, ErrorResponse},
    http_client::HttpClient,
    run::run,
    settings::{Bounds, Listen, Settings, StoreSettings},
    store::{GatewayEntry, Page, Record, Store, Topic},
};
