use serde::{Deserialize, Serialize};

use crate::members::RunTag;

/// Identity of one request for admission.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct AskId {
    /// Short name of the run of the router that asks.
    pub run: RunTag,
    /// Counts the asks of that run.
    pub serial: u32,
}

/// A request for admission to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// Identity; a repeated ask is answered alike.
    pub id: AskId,
    /// Hash of the workspace's name.
    pub workspace: u32,
    /// The workspace's share, relative to the shares of others.
    pub share: f32,
    /// Priority of the request's class.
    pub priority: u8,
    /// Longest wait in the queue, in milliseconds; zero to be told at once.
    pub queue_ms: u32,
    /// Time after which a grant that was not released lapses, in milliseconds.
    pub hold_ms: u32,
    /// Hash of the request; copies of one request run one after another.
    pub fingerprint: u32,
    /// Whether the request was open when an endpoint died; an engine runs one
    /// such request at a time.
    pub suspect: bool,
    /// Mean load of the pool as the router has seen it.
    pub seen_mean: f32,
}

/// The gate's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The request may go to the engine.
    Granted {
        /// The engine's load, this request included.
        load: u32,
    },
    /// The engine is at its bound; another may have room.
    Full {
        /// The engine's load.
        load: u32,
        /// Requests that wait for the engine.
        waiting: u32,
    },
    /// A copy of the request runs on the engine; wait for its end here, since
    /// another engine might die of it too.
    Duplicate,
    /// The request waits; the answer follows.
    Queued,
    /// The request is turned away.
    Refused {
        /// When to come back, in milliseconds.
        retry_ms: u32,
    },
}

impl Verdict {
    /// Returns whether the request may go to the engine.
    pub fn is_granted(&self) -> bool {
        matches!(self, Verdict::Granted { .. })
    }
}

/// The limits of an engine at one moment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Highest load as a multiple of the mean load.
    pub bound: f64,
    /// Most requests that run at once.
    pub slots: u32,
    /// Most requests that wait.
    pub queue_limit: u32,
    /// Total load of the engine's pool as known by gossip, this engine left out.
    pub others_load: u32,
    /// Number of engines in the pool.
    pub engines: u32,
}
