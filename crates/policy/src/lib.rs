//! Decisions of the gateway, free of sockets and clocks.
//!
//! | module | decision |
//! |---|---|
//! | [`config`] | the configuration in force and how a request finds its route |
//! | [`endpoints`] | which endpoints may be used, also while their list is away |
//! | [`history`] | what a gateway that missed changes of the list is told |
//! | [`membership`] | which gateways are alive, and which are told when |
//! | [`placement`] | which endpoint serves a request within the load bound |
//! | [`cached`] | from which engine a prompt prefix is fetched |
//! | [`admission`] | which requests engines are spared in a surge |
//! | [`retry_budget`] | how many requests may be sent a second time |
//! | [`health`] | what failures say about an endpoint |
//! | [`events`] | where the events of a stream begin and end |

pub mod admission;
pub mod cached;
pub mod config;
pub mod endpoint;
pub mod endpoints;
pub mod events;
pub mod health;
pub mod history;
pub mod limits;
pub mod membership;
pub mod placement;
pub mod retry_budget;
pub mod route;
pub mod service;

pub use crate::{
    config::FleetConfig,
    endpoint::{Endpoint, EndpointState},
    limits::Limits,
    route::{Repeat, Route, Target},
    service::Service,
};
