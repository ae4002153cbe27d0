//! Changes of the endpoint list, for gateways that have the list before them.

use mimosaledge_policy::endpoints::Change;
use serde::{Deserialize, Serialize};

/// Maximum number of endpoint list changes in one datagram; for more, peers
/// sync over TCP.
const MAX_BATCH_CHANGES: usize = 32;

/// Consecutive changes of the endpoint list.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ChangeBatch {
    /// Digest of the list that the changes apply to.
    pub base_digest: u64,
    /// The changes, oldest first.
    pub changes: Vec<Change>,
    /// Digest of the list after the changes; not sent.
    #[serde(skip)]
    end_digest: u64,
}

impl ChangeBatch {
    /// Appends changes that lead from one digest to another; starts a new batch
    /// if they do not continue this one. A batch that is too
    /// large for a datagram is emptied.
    pub fn add(&mut self, base_digest: u64, end_digest: u64, changes: Vec<Change>) {
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
    pub fn retain_if_current(&mut self, digest: u64) {
        if self.end_digest != digest {
            self.changes.clear();
        }
    }
}
