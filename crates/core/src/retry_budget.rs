//! Retry budgets, which limit retries to a configured percentage of a
//! workspace's requests.

use std::collections::HashMap;

use crate::name::Name;

/// Retries that a workspace may make before its requests have added to the
/// budget.
const INITIAL_TOKENS: f64 = 3.0;
/// Maximum number of retries that a workspace can accumulate.
const MAX_TOKENS: f64 = 20.0;

/// Retry budgets of all workspaces, each a token bucket in which one token pays
/// for one retry.
#[derive(Debug, Default)]
pub struct RetryBudget {
    tokens: HashMap<Name, f64>,
}

impl RetryBudget {
    /// Adds `retry_percent` hundredths of a token to a workspace's budget; called
    /// for each request, but not for its retries.
    pub fn credit(&mut self, workspace: &Name, retry_percent: u32) {
        let tokens = self.tokens.entry(workspace.clone()).or_insert(INITIAL_TOKENS);
        *tokens = (*tokens + f64::from(retry_percent) / 100.0).min(MAX_TOKENS);
    }

    /// Takes one token from a workspace's budget; returns whether there was one.
    pub fn try_acquire(&mut self, workspace: &Name) -> bool {
        let tokens = self.tokens.entry(workspace.clone()).or_insert(INITIAL_TOKENS);
        if *tokens < 1.0 {
            return false;
        }
        *tokens -= 1.0;
        true
    }
}

/// Returns a retry delay from `base_ms` to just under twice that, chosen by
/// `seed`.
///
/// The jitter spreads the retries of clients that were rejected at the same time.
pub fn jittered_delay_ms(base_ms: u64, seed: u64) -> u64 {
    base_ms + seed % base_ms.max(1)
}
