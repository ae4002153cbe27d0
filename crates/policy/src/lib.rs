//! Policies of the gateway, free of I/O; the current time is a parameter.
//!
//! | module | content |
//! |---|---|
//! | [`config`] | the configuration, and routing and authorization of requests |
//! | [`config_check`] | checks of a configuration before it is sent |
//! | `config_extension` | the parts of it that earlier builds do not know |
//! | [`endpoints`] | the set of endpoints, kept up during outages of the platform's list |
//! | [`evacuations`] | data centres whose endpoints get no requests |
//! | [`position`] | positions in the platform's log, across restores of its store |
//! | [`history`] | the latest changes of the endpoint list |
//! | [`membership`] | failure detection between gateways, and recipients of heartbeats |
//! | [`load`] | estimates of loads from counts that are partly out of date |
//! | [`load_forecast`] | loads now, from counts and reports of the past |
//! | [`slowness`], [`response_times`] | endpoints that are slow just now |
//! | [`broken_responses`] | endpoints whose responses break off |
//! | [`failure_excess`] | endpoints that fail more often than the others |
//! | [`even_choice`] | choice by many gateways that know the same old loads |
//! | [`placement`] | choice of the endpoint for a request, within the load bound |
//! | [`prefix_cache`] | prompt prefixes that engines have cached |
//! | [`admission`] | admission control for engines under overload |
//! | [`capacity`] | what endpoints that report no load can take |
//! | [`fair_share`], [`usage_table`] | shares of the workspaces in a service that lacks room |
//! | [`returns`] | requests that come back after a refusal |
//! | [`retry_budget`], [`sends`] | retry budgets per service, and what counts in them |
//! | [`permits`] | rate limits of endpoints, which all gateways share |
//! | [`concurrency`] | requests in flight at endpoints that must not have to refuse many |
//! | [`issuers`] | choice of the gateway that keeps each of these limits |
//! | [`health`] | the health of an endpoint |
//! | [`endpoint_group`], [`reach`] | whether a gateway reaches a service, or one build of it |
//! | [`crashing_parts`] | detection of prompt parts that crash engines |
//! | `suspect`, `crash`, `crash_stage`, `crash_evidence` | the crashes of a part, and what they say |
//! | [`byte_budget`], [`memory_limits`] | what is held for clients, and who gives way when there is no room |
//! | [`work_times`] | how long requests take, for a gateway that shuts down |
//! | [`version_follower`] | reading the versions of the configuration |
//! | [`settings`] | settings of these policies |
//! | [`slow_start`] | endpoints that are cold after their start |
//! | [`events`] | splitting of event streams |

pub mod admission;
pub mod arrival_rate;
pub mod broken_responses;
mod build_id;
pub mod builds;
pub mod byte_budget;
pub mod capacity;
pub mod concurrency;
pub mod config;
pub mod config_check;
mod config_extension;
mod crash;
mod crash_evidence;
mod crash_stage;
mod crash_suspect;
pub mod crashing_parts;
mod departures;
pub mod endpoint;
pub mod endpoint_group;
pub mod endpoints;
mod error;
pub mod evacuations;
pub mod even_choice;
pub mod events;
pub mod failure_excess;
pub mod fair_share;
pub mod health;
pub mod history;
pub mod issuers;
pub mod limits;
pub mod load;
pub mod load_forecast;
pub mod membership;
pub mod memory_limits;
pub mod origin_search;
pub mod permits;
pub mod placement;
pub mod position;
pub mod prefix_cache;
pub mod reach;
pub mod response_times;
pub mod retry_budget;
pub mod returns;
pub mod route;
pub mod sends;
pub mod service;
pub mod settings;
pub mod slow_start;
pub mod slowness;
mod sound_parts;
pub mod stream_origins;
mod suspect;
pub mod unreported;
pub mod usage_table;
pub mod version_follower;
pub mod work_times;

pub use crate::{
    build_id::BuildId,
    config::FleetConfig,
    config_extension::{ConfigExtension, Homes, SlowStart},
    endpoint::{Endpoint, EndpointState},
    endpoint_group::EndpointGroup,
    error::{Error, Result},
    limits::Limits,
    position::Position,
    reach::Reach,
    route::{RetryPolicy, Route, Target},
    service::Service,
    settings::PolicySettings,
};
