//! Settings of the policies.

use serde::Deserialize;

use crate::error::{Error, Result};

/// Settings of the policies, under `policy:` in a gateway's settings.
///
/// Each mechanism can be switched off: numbers by the value that the field names,
/// all others by `false`.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PolicySettings {
    /// Whether requests with a cached prompt prefix go to the engine that holds it.
    pub prefix_affinity: bool,
    /// Multiple of the service's mean load up to which an engine is chosen for its
    /// cached prefix.
    pub load_bound: f64,
    /// Requests that the load bound allows on top, so that an idle service does not
    /// spread a prefix over many engines.
    pub bound_slack: f64,
    /// Whether a prefix with many running requests is replicated to several engines.
    pub hot_replicas: bool,
    /// Whether an engine fetches a prefix that it lacks from another one.
    pub prefix_fetch: bool,
    /// Cost of an endpoint in another data centre, as a number of requests; 0 is off.
    pub remote_cost: f64,
    /// Cost of a failure rate of 1 above that of the service's best endpoint, as a
    /// number of requests; 0 is off.
    pub failure_cost: f64,
    /// Whether an endpoint is passed over as often as it has refused requests.
    pub avoid_refusals: bool,
    /// Whether reported loads count less when they are older than requests last.
    pub age_loads: bool,
    /// Whether requests for endpoints that run no batches are spread by the age of what is known
    /// of them, and endpoints that are slow just now are passed over.
    pub even_choice: bool,
    /// Whether the gateways share the room that is left at engines, rather than each filling
    /// it alone.
    pub share_room: bool,
    /// Share of an engine's slots that may be filled; the rest is left for requests
    /// that other gateways have sent but not yet reported. A large value is off.
    pub fill_ratio: f64,
    /// Slots that each priority leaves free for the next more urgent one; 0 is off.
    pub priority_slots: f64,
    /// Slots by which the limit is higher for requests that have already run in
    /// part; 0 is off.
    pub started_slots: f64,
    /// Whether endpoints that report no load are sent only as many requests as they can answer
    /// within the latency goal.
    pub limit_queues: bool,
    /// Whether workspaces share the room of services that have too little of it.
    pub fair_shares: bool,
    /// Whether clients that are refused together are told different delays.
    pub spread_retries: bool,
    /// Share of the retry budget that gateways use; 0 switches retries off. The rest
    /// is a margin for requests whose gateway has crashed and for gateways that
    /// disagree on the size of the fleet.
    pub retry_share: f64,
    /// Number of consecutive timeouts that mark an endpoint as down.
    pub down_timeouts: u32,
    /// Whether an interrupted stream is resumed at another engine.
    pub resume_streams: bool,
    /// Whether requests that crash endpoints are refused.
    pub quarantine: bool,
    /// Number of gateways that read the endpoint list for the whole fleet.
    pub list_readers: usize,
    /// Maximum number of other gateways that are all sent a heartbeat in each round.
    pub mesh_peers: usize,
    /// Share of the VM's memory that may be held for clients.
    pub held_share: f64,
    /// Share of the bytes in large holdings that one workspace may take; 1 is off.
    pub workspace_share: f64,
    /// Time without progress after which a client may have to give way to others, in
    /// milliseconds.
    pub stall_ms: u64,
}

impl Default for PolicySettings {
    fn default() -> PolicySettings {
        PolicySettings {
            prefix_affinity: true,
            load_bound: 1.35,
            bound_slack: 2.0,
            hot_replicas: true,
            prefix_fetch: true,
            remote_cost: 0.5,
            failure_cost: 20.0,
            avoid_refusals: true,
            age_loads: true,
            even_choice: true,
            share_room: true,
            fill_ratio: 0.94,
            priority_slots: 1.0,
            started_slots: 8.0,
            limit_queues: true,
            fair_shares: true,
            spread_retries: true,
            retry_share: 0.8,
            down_timeouts: 2,
            resume_streams: true,
            quarantine: true,
            list_readers: 2,
            mesh_peers: 100,
            held_share: 0.4,
            workspace_share: 0.5,
            stall_ms: 250,
        }
    }
}

impl PolicySettings {
    /// Returns the settings for a service of whose endpoints only the share `left`, from 0 to 1,
    /// may be used.
    ///
    /// The load bound is relative to the mean load of those that are left, which is higher than
    /// that of all; each may exceed it by less.
    pub fn with_share_left(self, left: f64) -> PolicySettings {
        PolicySettings {
            load_bound: 1.0 + (self.load_bound - 1.0) * left,
            bound_slack: self.bound_slack * left,
            ..self
        }
    }

    /// Checks that all values are in range.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first value out of range and the range.
    pub fn validate(&self) -> Result<()> {
        let ranges = [
            ("load_bound", self.load_bound, 1.0, 100.0),
            ("bound_slack", self.bound_slack, 0.0, 1_000.0),
            ("remote_cost", self.remote_cost, 0.0, 1_000.0),
            ("failure_cost", self.failure_cost, 0.0, 1_000.0),
            ("fill_ratio", self.fill_ratio, 0.1, 1_000.0),
            ("priority_slots", self.priority_slots, 0.0, 1_000.0),
            ("started_slots", self.started_slots, 0.0, 1_000.0),
            ("retry_share", self.retry_share, 0.0, 1.0),
            ("down_timeouts", self.down_timeouts.into(), 1.0, 1_000.0),
            ("list_readers", self.list_readers as f64, 1.0, 100.0),
            ("mesh_peers", self.mesh_peers as f64, 1.0, 1_000.0),
            ("held_share", self.held_share, 0.01, 0.9),
            ("workspace_share", self.workspace_share, 0.01, 1.0),
            ("stall_ms", self.stall_ms as f64, 1.0, 60_000.0),
        ];
        let out_of_range =
            ranges.into_iter().find(|(_, value, min, max)| !(*min..=*max).contains(value));
        match out_of_range {
            Some((key, value, min, max)) => Err(Error::out_of_range(key, value, min, max)),
            None => Ok(()),
        }
    }
}
