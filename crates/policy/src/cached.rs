//! Which engines have which prompt prefix cached, as far as one gateway knows.

use std::collections::HashMap;

use mimosaledge_core::{Millis, hash::rendezvous_score};

/// Time for which an engine is taken to keep a prefix after its last use, in
/// milliseconds.
const KEEP_MS: u64 = 15_000;
/// Most pairs of prefix and engine remembered.
const MAX_PAIRS: usize = 20_000;

/// The prefixes that this gateway has sent to engines.
#[derive(Debug, Default)]
pub struct CachedPrefixes {
    used: HashMap<(u64, u64), Millis>,
}

impl CachedPrefixes {
    /// Notes that the engine `node` has read `prefix`.
    pub fn note(&mut self, prefix: u64, node: u64, now: Millis) {
        if self.used.len() >= MAX_PAIRS {
            self.used.retain(|_, at| now.since(*at) < KEEP_MS);
        }
        if self.used.len() < MAX_PAIRS {
            self.used.insert((prefix, node), now);
        }
    }

    /// Returns whether the engine `node` has read `prefix` lately.
    pub fn holds(&self, prefix: u64, node: u64, now: Millis) -> bool {
        self.used.get(&(prefix, node)).is_some_and(|at| now.since(*at) < KEEP_MS)
    }
}

/// Chooses the engine from which `chosen` should fetch a prefix that it may
/// lack; returns its index in `nodes`.
///
/// An engine that this gateway has sent the prefix to goes first. Else it is
/// the first in the rank of the prefix: the prefix's home, if `chosen` took
/// over from it, or the home before `chosen` joined.
pub fn fetch_source(
    prefix: u64,
    chosen: u64,
    nodes: &[u64],
    cached: &CachedPrefixes,
    now: Millis,
) -> Option<usize> {
    if cached.holds(prefix, chosen, now) {
        return None;
    }
    let score = |node: u64| rendezvous_score(prefix, node, 1.0);
    nodes
        .iter()
        .enumerate()
        .filter(|(_, node)| **node != chosen)
        .max_by(|(_, a), (_, b)| {
            let known = |node: u64| cached.holds(prefix, node, now);
            known(**a).cmp(&known(**b)).then(score(**a).total_cmp(&score(**b)))
        })
        .map(|(at, _)| at)
}
