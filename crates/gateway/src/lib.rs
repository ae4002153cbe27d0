//! A gateway: accepts requests from clients and forwards them to endpoints.
//!
//! Two traits adapt it to a platform: [`Store`] provides the configuration and
//! the lists of endpoints and gateways, and [`Dialect`] the format of requests
//! and responses. A platform's adapter implements both and calls [`run`].
//!
//! | module | purpose |
//! |---|---|
//! | `listener` | accepts client connections |
//! | `request` | checks a request and selects its service |
//! | `request_context` | an authorized request, for the modules below |
//! | `attempt` | one attempt: sends a request to one endpoint |
//! | `attempts` | sends a request to endpoints, one after the other |
//! | `body_buffer` | buffers the bodies of requests and responses in granted memory |
//! | `memory`, `client_memory`, `memory_report` | the memory that clients take, and who gives way |
//! | `client_body` | gives a response to a client as it reads it |
//! | `retry_state`, `handover` | what has been tried for one request, also at another gateway |
//! | `eligibility` | which endpoints and gateways a request may be sent to at all |
//! | `selection`, `options`, `selected` | selects the endpoint for each attempt, or none under overload |
//! | `budget` | takes retries from the retry budget |
//! | `silence` | gives up a silent endpoint only for another one |
//! | `promises` | statuses that say that a request has not run |
//! | `permits`, `permit`, `permit_table`, `claims` | keep the limits of endpoints with the other gateways |
//! | `restrictions`, `endpoint_limits` | when an endpoint accepts requests, and how many |
//! | `fairness`, `fairness_table` | share the room of services among workspaces |
//! | `quarantine`, `crash_news` | finds out what crashes endpoints, refuses it, and tells of it |
//! | `relay`, `arrival`, `upstream` | forwards a stream and resumes it at another endpoint |
//! | `continuation` | which responses may continue a stream |
//! | `reach` | finds out that no endpoint of a service is reachable |
//! | `forward`, `forward_table` | hand requests over to a gateway that reaches endpoints |
//! | `endpoint_handle`, `pool` | connections and health of an endpoint |
//! | `endpoint_load`, `loads`, `in_flight` | requests at endpoints, and what these report |
//! | `responsiveness` | how fast an endpoint is just now |
//! | `load_estimates`, `even_placement` | estimates of loads, and placement by their age |
//! | `endpoint_table` | all listed endpoints, and candidates for placement |
//! | `warmup`, `warmup_news` | which endpoints are cold, with the other gateways |
//! | `unlisted_handles` | what is known of endpoints that are not listed for a time |
//! | `origins` | tells others which build began a stream, and finds it when a client resumes one |
//! | `build_records` | records in the store which builds count, for gateways that start |
//! | `follow_config`, `follow`, `cursor` | read the configuration and lists from the store |
//! | `gossip`, `peers`, `peer`, `heard`, `status` | exchange heartbeats with the other gateways |
//! | `datagrams` | sends messages to other gateways, of this build or another |
//! | `sync` | fetches missing state from another gateway |
//! | `gateway` | holds the state that these modules share |
//! | `evacuation` | sends no requests to evacuated data centres |
//! | `endpoint_list` | applies changes of the endpoint list to that state |
//! | `run`, `drain` | startup, maintenance and graceful shutdown |

mod arrival;
mod attempt;
mod attempts;
mod body_buffer;
mod budget;
mod build_records;
mod claims;
mod client_body;
mod client_memory;
mod clock;
mod continuation;
mod crash_news;
mod cursor;
mod datagrams;
mod dialect;
mod directory;
mod drain;
mod eligibility;
mod endpoint_handle;
mod endpoint_limits;
mod endpoint_list;
mod endpoint_load;
mod endpoint_table;
mod error;
mod error_response;
mod evacuation;
mod even_placement;
mod fairness;
mod fairness_table;
mod follow;
mod follow_config;
mod forward;
mod forward_table;
mod framing;
mod gateway;
mod gossip;
mod handover;
mod headers;
mod heard;
mod http_client;
mod in_flight;
mod interruption;
mod listener;
mod load_estimates;
mod load_metrics;
mod loads;
mod log_sink;
mod memory;
mod memory_report;
mod metrics;
mod options;
mod origins;
mod peer;
mod peers;
mod permit;
mod permit_table;
mod permits;
mod pool;
mod promises;
mod quarantine;
mod reach;
mod relay;
mod request;
mod request_context;
mod responsiveness;
mod restrictions;
mod retry_state;
mod run;
mod selected;
mod selection;
mod settings;
mod silence;
mod socket;
mod status;
mod store;
mod sync;
mod unlisted_handles;
mod upstream;
mod warmup;
mod warmup_news;

pub use crate::{
    dialect::{
        Dialect, DirectoryQuery, ForwardMetadata, PromptPart, RequestMetadata, ResponseMetadata,
    },
    error::{Error, Result},
    error_response::{Code, ErrorResponse},
    http_client::HttpClient,
    run::run,
    settings::{Bounds, Listen, Machine, Settings, StoreSettings},
    store::{EntryWarmup, GatewayEntry, Page, Record, Store, Topic},
};
