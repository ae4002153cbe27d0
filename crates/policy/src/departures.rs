//! Endpoints that have left, remembered so that an older copy of the list does
//! not bring them back.

use std::collections::HashMap;

use mimosaledge_core::{Millis, Name};

use crate::endpoint::Endpoint;

/// Time for which a removal is remembered, in milliseconds; longer than the age
/// of the copies from which a store is restored.
const RETENTION_MS: u64 = 60_000;

/// Incarnations of endpoints that were removed from the list lately.
#[derive(Debug, Default)]
pub(crate) struct Departures {
    /// Start time of the removed incarnation and time of its removal.
    removed: HashMap<Name, (Option<u64>, Millis)>,
}

impl Departures {
    /// Records that `endpoint` was removed from the list.
    pub(crate) fn record(&mut self, endpoint: &Endpoint, now: Millis) {
        self.removed.retain(|_, (_, at)| now.since(*at) < RETENTION_MS);
        self.removed.insert(endpoint.id.clone(), (endpoint.started_ms, now));
    }

    /// Forgets the removal of an endpoint that has registered again.
    pub(crate) fn forget(&mut self, id: &Name) {
        self.removed.remove(id);
    }

    /// Returns whether this incarnation was removed from the list lately.
    pub(crate) fn contains(&self, endpoint: &Endpoint, now: Millis) -> bool {
        self.removed.get(&endpoint.id).is_some_and(|(started_ms, at)| {
            *started_ms == endpoint.started_ms && now.since(*at) < RETENTION_MS
        })
    }
}
