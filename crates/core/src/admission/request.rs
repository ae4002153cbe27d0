use serde::{Deserialize, Serialize};

use crate::members::RunTag;

/// Identifies one admission request.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct AdmissionId {
    /// Tag of the requesting router's process run.
    pub run: RunTag,
    /// Sequence number within that run.
    pub serial: u32,
}

/// A router's request for admission to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AdmissionRequest {
    /// Idempotency key: a repeated request with the same ID is admitted or
    /// queued only once.
    pub id: AdmissionId,
    /// Hash of the workspace's name.
    pub workspace: u32,
    /// The workspace's fair-share weight, relative to other workspaces.
    pub share: f32,
    /// Priority of the request's class; higher values are admitted first.
    pub priority: u8,
    /// Maximum time in the wait queue, in milliseconds; zero to be rejected
    /// instead of queued.
    pub queue_ms: u32,
    /// Time after which a grant expires if it is not released, in milliseconds.
    pub grant_ttl_ms: u32,
    /// Hash of the request; requests with equal hashes run one after another.
    pub fingerprint: u32,
    /// Whether the request was in flight when an endpoint crashed; an engine
    /// runs one such request at a time.
    pub suspect: bool,
    /// Mean load of the pool as computed by the requesting router.
    pub observed_mean: f32,
}

/// The outcome of an admission request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decision {
    /// The request may be sent to the engine.
    Granted {
        /// The engine's load, including this request.
        load: u32,
    },
    /// The request cannot be admitted now, and its `queue_ms` is zero.
    Full {
        /// The engine's load.
        load: u32,
        /// Number of requests in the engine's wait queue.
        waiting: u32,
    },
    /// A request with the same fingerprint is running on the engine, and this
    /// one's `queue_ms` is zero. It should wait for this engine rather than try
    /// another, which it might crash too.
    Duplicate,
    /// The request is queued; the final decision follows.
    Queued,
    /// The request is rejected because the queue is full or it waited too long.
    Refused {
        /// Suggested delay before a retry, in milliseconds.
        retry_ms: u32,
    },
}

impl Decision {
    /// Returns whether the request may be sent to the engine.
    pub fn is_granted(&self) -> bool {
        matches!(self, Decision::Granted { .. })
    }
}

/// The admission limits of an engine and the current load of its pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Maximum load as a multiple of the pool's mean load.
    pub bound: f64,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Maximum number of queued requests.
    pub queue_limit: u32,
    /// Total load of the other engines in the pool, as learned by gossip.
    pub others_load: u32,
    /// Number of engines in the pool, including this one.
    pub engines: u32,
}
