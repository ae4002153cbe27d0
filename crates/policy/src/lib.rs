//! Policies of the gateway, free of I/O; the current time is a parameter.
//!
//! | module | content |
//! |---|---|
//! | [`config`] | the configuration, and routing and authorization of requests |
//! | [`endpoints`] | the set of endpoints, kept up during outages of the platform's list |
//! | [`history`] | the latest changes of the endpoint list |
//! | [`membership`] | failure detection between gateways, and recipients of heartbeats |
//! | [`placement`] | choice of the endpoint for a request, within the load bound |
//! | [`prefix_cache`] | prompt prefixes that engines have cached |
//! | [`admission`] | admission control for engines under overload |
//! | [`retry_budget`] | retry budgets per service |
//! | [`health`] | the health of an endpoint |
//! | [`events`] | splitting of event streams |

pub mod admission;
pub mod config;
pub mod endpoint;
pub mod endpoints;
pub mod events;
pub mod health;
pub mod history;
pub mod limits;
pub mod membership;
pub mod placement;
pub mod prefix_cache;
pub mod retry_budget;
pub mod route;
pub mod service;

pub use crate::{
    config::FleetConfig,
    endpoint::{Endpoint, EndpointState},
    limits::Limits,
    route::{RetryPolicy, Route, Target},
    service::Service,
};
