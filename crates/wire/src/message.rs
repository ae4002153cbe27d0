//! Messages that routers exchange over UDP and TCP.

use mimosaledge_core::{
    admission::{AdmissionId, AdmissionRequest, Decision},
    endpoints::{EndpointId, EndpointInfo},
    head::HeadReplica,
    idempotency::{Answer, KeyId, KeyPrefix, NoteReply, SealReply},
    members::{Heartbeat, RouterRef, RunTag},
    quarantine::Crash,
};
use serde::{Deserialize, Serialize};

/// A message that one router sends to another in a datagram.
///
/// Postcard encodes variants and fields by position, so their order is part of
/// the wire format.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Heartbeats and recent endpoint states that the sender knows of.
    Gossip(Gossip),
    /// Engine loads, exchanged between the admission homes of engines.
    Loads(Vec<EngineLoad>),
    /// Asks the admission home of an engine (the router that runs its admission
    /// control) to admit a request.
    Admit {
        /// The engine.
        engine: EndpointId,
        /// The request.
        request: AdmissionRequest,
    },
    /// Replies to [`Message::Admit`].
    AdmitReply {
        /// The engine.
        engine: EndpointId,
        /// Identifier of the request.
        id: AdmissionId,
        /// The admission decision.
        decision: Decision,
    },
    /// Releases the admission permit of a request, or removes the request from
    /// the queue.
    Release {
        /// The engine.
        engine: EndpointId,
        /// Identifier of the request.
        id: AdmissionId,
    },
    /// Asks the witness of an idempotency key to record that the key's home is
    /// about to run the request.
    Note {
        /// The key.
        key: KeyId,
        /// The key prefix that identifies the home and the witness.
        prefix: KeyPrefix,
    },
    /// Replies to [`Message::Note`].
    NoteReply {
        /// The key.
        key: KeyId,
        /// Whether the home may run the request.
        reply: NoteReply,
    },
    /// Asks the witness to seal a key whose home is unreachable: if the witness
    /// has no record of the key, the request can never run.
    Seal {
        /// The key.
        key: KeyId,
        /// The key prefix that identifies the home and the witness.
        prefix: KeyPrefix,
    },
    /// Replies to [`Message::Seal`].
    SealReply {
        /// The key.
        key: KeyId,
        /// What the witness has recorded about the key.
        reply: SealReply,
    },
    /// Replicates the outcome of a finished request to the witness of its key.
    Finish {
        /// The key.
        key: KeyId,
        /// The response, or `None` if the endpoint refused the request.
        answer: Option<Answer>,
    },
    /// Acknowledges [`Message::Finish`].
    FinishAck {
        /// The key.
        key: KeyId,
    },
    /// Announces that an endpoint is about to shut down.
    Leaving {
        /// The endpoint.
        endpoint: EndpointId,
        /// The incarnation that shuts down.
        incarnation: u32,
    },
    /// Reports which requests were in flight when an endpoint crashed.
    CrashReport(CrashReport),
}

/// State that a router sends to a peer over TCP: everything that it has read
/// from the platform, for peers that cannot reach the platform themselves.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StateTransfer {
    /// The accepted configuration head and the next log offset to read.
    pub head_replica: HeadReplica,
    /// Endpoints in the most recent VM list.
    pub endpoints: Vec<EndpointInfo>,
}

/// The payload of a gossip round.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Gossip {
    /// The sender.
    pub sender: RouterRef,
    /// Full heartbeats: the sender's own, and a few that are new or changed.
    pub heartbeats: Vec<Heartbeat>,
    /// Compact heartbeats of routers that the receiver probably knows already.
    pub compact_heartbeats: Vec<CompactHeartbeat>,
    /// Endpoint states.
    pub endpoint_statuses: Vec<EndpointStatus>,
}

/// A heartbeat that omits the addresses and state of the router, which the
/// receiver has from an earlier full heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompactHeartbeat {
    /// Short identifier of the router and its incarnation.
    pub run: RunTag,
    /// Sequence number of the heartbeat.
    pub sequence: u32,
}

/// The state of one endpoint, as observed by its admission home.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The endpoint's incarnation.
    pub incarnation: u32,
    /// Age of the observation, in milliseconds; the most recent observation wins.
    ///
    /// Unlike a timestamp, an age does not require synchronized clocks.
    pub age_ms: u32,
    /// Load reported by the endpoint.
    pub reported_load: u32,
    /// Load admitted by the admission home.
    pub admitted_load: u32,
    /// Hash of the name of the model that it serves; zero for a service, or while an
    /// engine is loading a model.
    pub model: u32,
    /// Whether the health checks of its admission home succeed.
    pub up: bool,
    /// Whether it has announced its shutdown.
    pub leaving: bool,
}

/// The load that an admission home has admitted to one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// The engine.
    pub engine: EndpointId,
    /// Age of the observation, in milliseconds.
    pub age_ms: u32,
    /// Number of requests admitted and not yet released.
    pub admitted: u32,
}

/// The requests that were in flight when an endpoint crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The endpoint incarnation that crashed.
    pub crash: Crash,
    /// Fingerprints of the requests in flight at the crash.
    pub fingerprints: Vec<u64>,
}

/// The kind of a message, used to break down traffic metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum MessageKind {
    /// Heartbeats and endpoint states.
    Gossip,
    /// Engine loads.
    Loads,
    /// Admission requests, replies and releases.
    Admission,
    /// Coordination of idempotency keys between home and witness.
    Witness,
    /// Shutdown announcements and crash reports.
    Notice,
}

impl MessageKind {
    /// Returns the name used as a metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            MessageKind::Gossip => "gossip",
            MessageKind::Loads => "loads",
            MessageKind::Admission => "admission",
            MessageKind::Witness => "witness",
            MessageKind::Notice => "notice",
        }
    }
}

impl Message {
    /// Returns the kind of the message.
    pub fn kind(&self) -> MessageKind {
        match self {
            Message::Gossip(_) => MessageKind::Gossip,
            Message::Loads(_) => MessageKind::Loads,
            Message::Admit { .. } | Message::AdmitReply { .. } | Message::Release { .. } => {
                MessageKind::Admission
            }
            Message::Note { .. }
            | Message::NoteReply { .. }
            | Message::Seal { .. }
            | Message::SealReply { .. }
            | Message::Finish { .. }
            | Message::FinishAck { .. } => MessageKind::Witness,
            Message::Leaving { .. } | Message::CrashReport(_) => MessageKind::Notice,
        }
    }
}
