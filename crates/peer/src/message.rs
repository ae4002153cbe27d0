//! Messages that gateways exchange in datagrams.

use mimosaledge_policy::{
    permits::Claim,
    stream_origins::{BuildOrigins, StreamOrigin},
};
use serde::{Deserialize, Serialize};

use crate::{
    change_batch::ChangeBatch,
    endpoint_limits::LimitSample,
    heartbeat::Heartbeat,
    reports::{Refusal, SuspectReport},
    state_summary::StateSummary,
    version::Version,
    warmup_sample::WarmupSample,
};

/// A datagram between gateways.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
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
    PermitResponse {
        /// Number of the request.
        number: u32,
        /// Node number of the endpoint.
        endpoint: u64,
        /// Time until a permit can be issued, in milliseconds, unless it is.
        retry_ms: Option<u64>,
    },
    /// Returns the permit `number` after the request has ended; `refused` says whether the
    /// endpoint refused it.
    PermitRelease {
        /// Number of the request for the permit.
        number: u32,
        /// Node number of the endpoint.
        endpoint: u64,
        /// Whether the endpoint refused the request.
        refused: bool,
    },
    /// Answers a query for the origin of a stream that the sender does not know.
    OriginUnknown(u64),
    /// Sent by a gateway that has begun streams, to those that it has not told at once.
    StreamOrigins(Vec<BuildOrigins>),
    /// Sent by a gateway at which requests waited for the head of a response from an endpoint
    /// that has crashed, and again with its next heartbeats.
    WaitingSuspects(Vec<SuspectReport>),
    /// Sent to a gateway that has joined or become ready.
    Refusals {
        /// Requests that the sender refuses.
        requests: Vec<Refusal>,
        /// Parts of prompts that the sender refuses.
        parts: Vec<Refusal>,
    },
    /// Sent by a gateway that has learned of cold endpoints, and to one that becomes ready.
    Warmups(Vec<WarmupSample>),
}

impl Message {
    /// Returns the first version that knows this kind of message.
    pub(crate) fn since(&self) -> Version {
        match self {
            Message::Heartbeat(_)
            | Message::Changes(..)
            | Message::StreamOrigin(_)
            | Message::OriginQuery(_)
            | Message::Suspects(_) => Version::BEFORE_PERMITS,
            Message::Limits(_)
            | Message::PermitRequest(_)
            | Message::PermitResponse { .. }
            | Message::PermitRelease { .. } => Version::BEFORE_FOOTER,
            Message::OriginUnknown(_) => Version::ORIGIN_DENIALS,
            Message::StreamOrigins(_) | Message::WaitingSuspects(_) | Message::Refusals { .. } => {
                Version::ORIGIN_COPIES
            }
            Message::Warmups(_) => Version::EXTENSIONS,
        }
    }
}

/// A request for the permit to send one request to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Number by which the asking gateway recognizes the response.
    pub number: u32,
    /// Node number of the endpoint.
    pub endpoint: u64,
    /// Which permits it may take.
    pub claim: Claim,
    /// Time within which the request ends, in milliseconds.
    pub ttl_ms: u64,
    /// The endpoint's limits, as the asking gateway knows them.
    pub limits: LimitSample,
    /// Time for which the endpoint stays cold, as the asking gateway knows it, in milliseconds.
    /// It follows the message, so that it is no part of its layout.
    #[serde(skip)]
    pub warmup_ms: u32,
}
