//! Retry budgets: retries may add only a set share to a workspace's load.

use std::collections::HashMap;

use crate::name::Name;

/// Retries that a workspace may make before it has sent any requests.
const INITIAL_RETRIES: f64 = 3.0;
/// Most retries that a workspace may save up.
const MAX_SAVED: f64 = 20.0;

/// Retry budgets of all workspaces.
#[derive(Debug, Default)]
pub struct RetryBudget {
    saved: HashMap<Name, f64>,
}

impl RetryBudget {
    /// Credits a workspace for a first attempt.
    pub fn credit(&mut self, workspace: &Name, percent: u32) {
        let saved = self.saved.entry(workspace.clone()).or_insert(INITIAL_RETRIES);
        *saved = (*saved + f64::from(percent) / 100.0).min(MAX_SAVED);
    }

    /// Takes one retry from a workspace's budget; returns whether it had one.
    pub fn take(&mut self, workspace: &Name) -> bool {
        let saved = self.saved.entry(workspace.clone()).or_insert(INITIAL_RETRIES);
        if *saved < 1.0 {
            return false;
        }
        *saved -= 1.0;
        true
    }
}

/// Spreads come-back times so that callers turned away together do not return
/// together: between one and two times `base_ms`, by `seed`.
pub fn jittered_wait(base_ms: u64, seed: u64) -> u64 {
    base_ms + seed % base_ms.max(1)
}
