//! The messages that routers exchange in datagrams.

use mimosaledge_core::{
    admission::{AdmissionId, AdmissionRequest, Decision},
    endpoints::{EndpointId, EndpointInfo},
    head::HeadReplica,
    idempotency::{Answer, KeyId, KeyPrefix, NoteReply, SealReply},
    members::{Heartbeat, RouterRef, RunTag},
    quarantine::Crash,
};
use serde::{Deserialize, Serialize};

/// A datagram between two routers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// What the sender has heard lately.
    Gossip(Gossip),
    /// Loads of engines, told between their admission homes.
    Loads(Vec<Load>),
    /// Asks the admission home of an engine to let a request in.
    Ask {
        /// The engine.
        engine: EndpointId,
        /// The request.
        ask: AdmissionRequest,
    },
    /// Answers [`Message::Ask`].
    Verdict {
        /// The engine.
        engine: EndpointId,
        /// The request.
        id: AdmissionId,
        /// The decision.
        verdict: Decision,
    },
    /// Gives a grant or a place in the queue back.
    Release {
        /// The engine.
        engine: EndpointId,
        /// The request.
        id: AdmissionId,
    },
    /// Asks a witness to note a key that its home is about to start.
    Note {
        /// The key.
        key: KeyId,
        /// The prefix that names the home and the witness.
        prefix: KeyPrefix,
    },
    /// Answers [`Message::Note`].
    NoteReply {
        /// The key.
        key: KeyId,
        /// The decision.
        reply: NoteReply,
    },
    /// Asks a witness to close a key whose home cannot be reached.
    Seal {
        /// The key.
        key: KeyId,
        /// The prefix that names the home and the witness.
        prefix: KeyPrefix,
    },
    /// Answers [`Message::Seal`].
    SealReply {
        /// The key.
        key: KeyId,
        /// What the witness knows.
        reply: SealReply,
    },
    /// Hands a finished key over to its witness.
    Finish {
        /// The key.
        key: KeyId,
        /// The answer, or `None` if the endpoint refused the request.
        answer: Option<Answer>,
    },
    /// Acknowledges [`Message::Finish`].
    FinishAck {
        /// The key.
        key: KeyId,
    },
    /// Says that an endpoint has given notice that it leaves.
    Leaving {
        /// The endpoint.
        endpoint: EndpointId,
        /// The incarnation that leaves.
        incarnation: u32,
    },
    /// Says which requests were open when an endpoint died.
    Blame(Blame),
}

/// What a router hands to one that asks over TCP: all that the platform told
/// it, for a router that cannot reach the platform itself.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Transfer {
    /// The accepted head and how far the log was read.
    pub fold: HeadReplica,
    /// Endpoints of the last VM list.
    pub endpoints: Vec<EndpointInfo>,
}

/// What a router has heard lately.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Gossip {
    /// The sender.
    pub from: RouterRef,
    /// Whole heartbeats: the sender's own, and a few that are new or changed.
    pub heartbeats: Vec<Heartbeat>,
    /// Short heartbeats of routers that the receiver is likely to know.
    pub beats: Vec<Beat>,
    /// States of endpoints.
    pub statements: Vec<Statement>,
}

/// A heartbeat of a router whose particulars are known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// The run of the router.
    pub run: RunTag,
    /// Count of its heartbeats.
    pub beat: u32,
}

/// The state of one endpoint, as its admission home sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The endpoint's incarnation.
    pub incarnation: u32,
    /// Time since the home observed this, in milliseconds; of two statements
    /// the younger one counts, which needs no common clock.
    pub age_ms: u32,
    /// Load reported by the endpoint.
    pub reported: u32,
    /// Load let in by the admission home.
    pub admitted: u32,
    /// Hash of the name of the model that it serves; zero for a service.
    pub model: u32,
    /// Whether it answers its home's probes.
    pub up: bool,
    /// Whether it has given notice that it leaves.
    pub leaving: bool,
}

/// The load that an admission home has let in at one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The engine.
    pub engine: EndpointId,
    /// Time since the home observed this, in milliseconds.
    pub age_ms: u32,
    /// Requests let in and not yet released.
    pub admitted: u32,
}

/// The requests that were open when an endpoint died.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Blame {
    /// The death.
    pub death: Crash,
    /// Fingerprints of the open requests.
    pub fingerprints: Vec<u64>,
}

/// The kind of a message, for counting traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum MessageKind {
    /// Heartbeats and states of endpoints.
    Gossip,
    /// Loads of engines.
    Loads,
    /// Admission.
    Admission,
    /// Witnessing of idempotency keys.
    Witness,
    /// Leave notices and deaths.
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
            Message::Ask { .. } | Message::Verdict { .. } | Message::Release { .. } => {
                MessageKind::Admission
            }
            Message::Note { .. }
            | Message::NoteReply { .. }
            | Message::Seal { .. }
            | Message::SealReply { .. }
            | Message::Finish { .. }
            | Message::FinishAck { .. } => MessageKind::Witness,
            Message::Leaving { .. } | Message::Blame(_) => MessageKind::Notice,
        }
    }
}
