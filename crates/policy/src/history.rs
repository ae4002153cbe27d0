//! The latest changes of the endpoint list, which are sent to a gateway that has
//! missed some of them, so that it does not need the whole list.

use std::collections::VecDeque;

use crate::endpoints::Change;

/// Maximum number of changes kept.
const MAX_CHANGES: usize = 2_000;

#[derive(Debug)]
struct Batch {
    /// Digest of the list that the changes apply to.
    base_digest: u64,
    changes: Vec<Change>,
}

/// The changes that led to the current list, in batches.
#[derive(Debug, Default)]
pub struct History {
    batches: VecDeque<Batch>,
    count: usize,
}

impl History {
    /// Records changes that were made to the list with digest `base_digest`.
    pub fn record(&mut self, base_digest: u64, changes: &[Change]) {
        self.count += changes.len();
        self.batches.push_back(Batch { base_digest, changes: changes.to_vec() });
        while self.count > MAX_CHANGES {
            let Some(oldest) = self.batches.pop_front() else { break };
            self.count -= oldest.changes.len();
        }
    }

    /// Removes all changes; called when the whole list is replaced.
    pub fn clear(&mut self) {
        self.batches.clear();
        self.count = 0;
    }

    /// Returns the changes that lead from the list with `digest` to the current
    /// one, or `None` if not all of them are known.
    pub fn since(&self, digest: u64) -> Option<Vec<Change>> {
        let first = self.batches.iter().rposition(|it| it.base_digest == digest)?;
        Some(self.batches.range(first..).flat_map(|it| it.changes.iter().cloned()).collect())
    }
}
