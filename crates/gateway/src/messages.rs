//! Messages that gateways exchange in UDP datagrams.

use std::net::Ipv4Addr;

use mimosaledge_policy::{
    Position, crashing_parts::CrashSuspect, endpoints::Change, membership::FailureReport,
    permits::Claim, stream_origins::StreamOrigin,
};
use serde::{Deserialize, Serialize};

use crate::{
    endpoint_limits::LimitSample,
    loads::{LoadSample, Outcomes, RequestCount},
};

/// Maximum number of endpoint list changes in one datagram; for more, peers
/// sync over TCP.
const MAX_BATCH_CHANGES: usize = 32;

/// A request that was in flight at an endpoint when it crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CrashReport {
    /// Fingerprint of the request.
    pub(crate) fingerprint: u64,
    /// Node number of the endpoint's incarnation.
    pub(crate) endpoint: u64,
}

/// A suspect of a crash, with the time since the crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SuspectReport {
    pub(crate) suspect: CrashSuspect,
    /// Time since the crash, in milliseconds.
    pub(crate) age_ms: u64,
}

/// Identifies the configuration and endpoint list that a gateway has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StateSummary {
    /// Version of the configuration.
    pub(crate) version: u64,
    /// Latest known era of the store.
    pub(crate) era: u64,
    /// Position up to which the endpoint list was read from the store's log.
    pub(crate) position: Position,
    /// Digest of the endpoint list.
    pub(crate) digest: u64,
    /// Time since the list was last known to be current, in milliseconds.
    pub(crate) list_age_ms: u64,
    /// Time since the configuration was last known to be current, in milliseconds.
    pub(crate) config_age_ms: u64,
}

/// Consecutive changes of the endpoint list.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct ChangeBatch {
    /// Digest of the list that the changes apply to.
    pub(crate) base_digest: u64,
    /// The changes, oldest first.
    pub(crate) changes: Vec<Change>,
    /// Digest of the list after the changes; not sent.
    #[serde(skip)]
    end_digest: u64,
}

impl ChangeBatch {
    /// Appends changes that lead from one digest to another; starts a new batch
    /// if they do not continue this one. A batch of more than
    /// [`MAX_BATCH_CHANGES`] is emptied.
    pub(crate) fn add(&mut self, base_digest: u64, end_digest: u64, changes: Vec<Change>) {
        if self.changes.is_empty() || self.end_digest != base_digest {
            *self = ChangeBatch { base_digest, changes, end_digest };
        } else {
            self.changes.extend(changes);
            self.end_digest = end_digest;
        }
        if self.changes.len() > MAX_BATCH_CHANGES {
            self.changes.clear();
        }
    }

    /// Empties the batch unless it leads to the list with `digest`.
    pub(crate) fn retain_if_current(&mut self, digest: u64) {
        if self.end_digest != digest {
            self.changes.clear();
        }
    }
}

/// A datagram between gateways.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// Sent by every gateway, at an interval that grows with the size of the
    /// fleet.
    Heartbeat(Box<Heartbeat>),
    /// Sent by a gateway that has just read changes of the endpoint list.
    Changes(StateSummary, ChangeBatch),
    /// Sent by a gateway that has begun a stream, and in response to a query.
    StreamOrigin(StreamOrigin),
    /// Asks for the origin of the stream that an attempt, given by its hash, began.
    OriginQuery(u64),
    /// Sent by a gateway that has seen an endpoint crash, before the next heartbeat.
    Suspects(Vec<SuspectReport>),
    /// Sent by a gateway that an endpoint has told of new limits, or of their end.
    Limits(Vec<LimitSample>),
    /// Asks the gateway that issues an endpoint's permits for one.
    PermitRequest(PermitRequest),
    /// Responds to the request `number`: the permit is issued, or can be after `retry_ms`.
    PermitResponse { number: u32, endpoint: u64, retry_ms: Option<u64> },
    /// Returns the permit `number` after the request has ended; `refused` says whether the
    /// endpoint refused it.
    PermitRelease { number: u32, endpoint: u64, refused: bool },
}

/// A request for the permit to send one request to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub(crate) struct PermitRequest {
    pub(crate) number: u32,
    /// Node number of the endpoint.
    pub(crate) endpoint: u64,
    pub(crate) claim: Claim,
    /// Time within which the request ends, in milliseconds.
    pub(crate) ttl_ms: u64,
    /// The endpoint's limits, as the asking gateway knows them.
    pub(crate) limits: LimitSample,
}

/// The periodic report of one gateway.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    /// Whether the gateway accepts requests.
    pub(crate) ready: bool,
    /// Whether it reaches none of the endpoints.
    pub(crate) cut_off: bool,
    /// Its configuration and endpoint list.
    pub(crate) summary: StateSummary,
    /// Its requests in flight; in a large fleet only totals of those that share
    /// a prefix.
    pub(crate) request_counts: Vec<RequestCount>,
    /// Recent loads that endpoints have reported to it; only in a large fleet.
    pub(crate) samples: Vec<LoadSample>,
    /// Recent outcomes of its requests, for endpoints with failures.
    pub(crate) outcomes: Vec<Outcomes>,
    /// Limits of endpoints that have changed lately.
    pub(crate) limits: Vec<LimitSample>,
    /// Requests that were in flight at an endpoint when it crashed.
    pub(crate) crashes: Vec<CrashReport>,
    /// Prompt parts to which an endpoint had just begun to respond when it crashed.
    pub(crate) suspects: Vec<SuspectReport>,
    /// Suspects with which a request has completed since.
    pub(crate) sound_parts: Vec<u64>,
    /// Some of the other gateways that accept requests.
    pub(crate) known_peers: Vec<Ipv4Addr>,
    /// Gateways that it suspects to have failed, and those recently marked as
    /// dead.
    pub(crate) failure_report: FailureReport,
}
