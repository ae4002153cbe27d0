//! Tracks which engines have which prompt prefixes cached, from the requests
//! that one gateway has sent, and selects an engine to fetch a prefix from.

use std::collections::HashMap;

use mimosaledge_core::{Millis, hash::rendezvous_score};

/// Time for which an engine is assumed to keep a prefix after its last use, in
/// milliseconds.
const PREFIX_TTL_MS: u64 = 15_000;
/// Maximum number of pairs of prefix and engine that are tracked.
const MAX_ENTRIES: usize = 20_000;

/// The prefixes that this gateway has sent to engines, with the time of their
/// last use.
#[derive(Debug, Default)]
pub struct CachedPrefixes {
    last_used: HashMap<(u64, u64), Millis>,
}

impl CachedPrefixes {
    /// Records that the engine `node` was sent `prefix`.
    pub fn record(&mut self, prefix: u64, node: u64, now: Millis) {
        if self.last_used.len() >= MAX_ENTRIES {
            self.last_used.retain(|_, at| now.since(*at) < PREFIX_TTL_MS);
        }
        if self.last_used.len() < MAX_ENTRIES {
            self.last_used.insert((prefix, node), now);
        }
    }

    /// Returns whether the engine `node` is assumed to have `prefix` cached.
    pub fn is_cached(&self, prefix: u64, node: u64, now: Millis) -> bool {
        self.last_used.get(&(prefix, node)).is_some_and(|at| now.since(*at) < PREFIX_TTL_MS)
    }
}

/// Chooses the engine from which `chosen` should fetch a prefix that it may not
/// have cached; returns its index in `nodes`, or `None` if `chosen` has the
/// prefix or there is no other engine.
///
/// Engines to which this gateway has sent the prefix are preferred, then those
/// with a higher rendezvous score for it: the one with the highest score either
/// normally serves the prefix but is over the load bound now, or served it before
/// `chosen` joined.
pub fn fetch_source(
    prefix: u64,
    chosen: u64,
    nodes: &[u64],
    cached: &CachedPrefixes,
    now: Millis,
) -> Option<usize> {
    if cached.is_cached(prefix, chosen, now) {
        return None;
    }
    let score = |node: u64| rendezvous_score(prefix, node, 1.0);
    nodes
        .iter()
        .enumerate()
        .filter(|(_, node)| **node != chosen)
        .max_by(|(_, a), (_, b)| {
            let is_known = |node: u64| cached.is_cached(prefix, node, now);
            is_known(**a).cmp(&is_known(**b)).then(score(**a).total_cmp(&score(**b)))
        })
        .map(|(at, _)| at)
}
