//! The periodic report of a gateway.

use std::net::Ipv4Addr;

use mimosaledge_policy::membership::FailureReport;
use serde::{Deserialize, Serialize};

use crate::{
    endpoint_limits::LimitSample,
    heartbeat_extension::HeartbeatExtension,
    load_sample::LoadSample,
    outcomes::Outcomes,
    reports::{CrashReport, SuspectReport},
    request_count::RequestCount,
    state_summary::StateSummary,
};

/// The periodic report of one gateway.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Whether the gateway accepts requests.
    pub ready: bool,
    /// Whether it reaches none of the endpoints.
    pub cut_off: bool,
    /// Its configuration and endpoint list.
    pub summary: StateSummary,
    /// Its requests in flight; in a large fleet only totals of those that share
    /// a prefix.
    pub request_counts: Vec<RequestCount>,
    /// Recent loads that endpoints have reported to it; only in a large fleet.
    pub samples: Vec<LoadSample>,
    /// Recent outcomes of its requests, for endpoints with failures.
    pub outcomes: Vec<Outcomes>,
    /// Limits of endpoints that have changed lately.
    pub limits: Vec<LimitSample>,
    /// Requests that were in flight at an endpoint when it crashed.
    pub crashes: Vec<CrashReport>,
    /// Prompt parts to which an endpoint had just begun to respond when it crashed.
    pub suspects: Vec<SuspectReport>,
    /// Suspects with which a request has completed since.
    pub sound_parts: Vec<u64>,
    /// Some of the other gateways that accept requests.
    pub known_peers: Vec<Ipv4Addr>,
    /// Gateways that it suspects to have failed, and those recently marked as
    /// dead.
    pub failure_report: FailureReport,
    /// Numbers of the services and builds that it reaches no endpoint of, unless it reaches
    /// none at all; see [`EndpointGroup`](mimosaledge_policy::EndpointGroup). They follow the
    /// message, so that they are no part of its layout.
    #[serde(skip)]
    pub unreached: Vec<u32>,
    /// What was added later; it follows `unreached`.
    #[serde(skip)]
    pub extension: HeartbeatExtension,
}
