//! The latest changes of the list of endpoints, for gateways that missed some.

use std::collections::VecDeque;

use crate::endpoints::Change;

/// Most changes kept.
const MAX_CHANGES: usize = 2_000;

#[derive(Debug)]
struct Step {
    /// Digest of the list that the changes follow on.
    before: u64,
    changes: Vec<Change>,
}

/// The changes that led to the present list.
#[derive(Debug, Default)]
pub struct History {
    steps: VecDeque<Step>,
    count: usize,
}

impl History {
    /// Notes changes that were made to the list with digest `before`.
    pub fn note(&mut self, before: u64, changes: &[Change]) {
        self.count += changes.len();
        self.steps.push_back(Step { before, changes: changes.to_vec() });
        while self.count > MAX_CHANGES {
            let Some(oldest) = self.steps.pop_front() else { break };
            self.count -= oldest.changes.len();
        }
    }

    /// Forgets all changes, since the list was replaced.
    pub fn clear(&mut self) {
        self.steps.clear();
        self.count = 0;
    }

    /// Returns the changes that lead from the list with `digest` to the present
    /// one, if they are known.
    pub fn since(&self, digest: u64) -> Option<Vec<Change>> {
        let first = self.steps.iter().rposition(|it| it.before == digest)?;
        Some(self.steps.range(first..).flat_map(|it| it.changes.iter().cloned()).collect())
    }
}
