//! A gateway: accepts requests from clients and forwards them to endpoints.
//!
//! Two traits adapt it to a platform: [`Store`] provides the configuration and
//! the lists of endpoints and gateways, and [`Dialect`] the format of requests
//! and responses. A platform's adapter implements both and calls [`run`].
//!
//! | module | purpose |
//! |---|---|
//! | `listener` | accepts client connections |
//! | `request` | decides whether and how a request is served |
//! | `selection` | chooses an endpoint, or finds that all are at their load limit |
//! | `attempts` | sends a request to endpoints, one after the other |
//! | `pool`, `endpoint_table` | connections, load and health of endpoints |
//! | `relay` | forwards a stream and resumes it at another endpoint |
//! | `follow`, `gossip`, `peers`, `sync` | keep the configuration and lists up to date |

mod attempts;
mod clock;
mod dialect;
mod directory;
mod drain;
mod endpoint_table;
mod error;
mod error_response;
mod follow;
mod gateway;
mod gossip;
mod headers;
mod http_client;
mod listener;
mod loads;
mod log_sink;
mod messages;
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
