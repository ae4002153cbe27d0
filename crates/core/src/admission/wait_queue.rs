use std::collections::HashSet;

use super::{AdmissionId, AdmissionRequest};
use crate::{members::RunTag, time::Millis};

/// Wait after which the priority of a queued request rises by one, in
/// milliseconds.
const AGING_INTERVAL_MS: u64 = 500;

#[derive(Debug, Clone, Copy)]
struct QueuedRequest {
    request: AdmissionRequest,
    queued_at: Millis,
}

impl QueuedRequest {
    fn has_timed_out(&self, now: Millis) -> bool {
        now.since(self.queued_at) >= u64::from(self.request.queue_ms)
    }

    /// Returns the priority raised in proportion to the wait, which prevents
    /// starvation.
    fn aged_priority(&self, now: Millis) -> u64 {
        u64::from(self.request.priority) + now.since(self.queued_at) / AGING_INTERVAL_MS
    }
}

/// Requests waiting for admission to one engine.
#[derive(Debug, Default)]
pub(super) struct WaitQueue {
    queue: Vec<QueuedRequest>,
}

impl WaitQueue {
    pub(super) fn len(&self) -> usize {
        self.queue.len()
    }

    pub(super) fn contains(&self, id: AdmissionId) -> bool {
        self.queue.iter().any(|it| it.request.id == id)
    }

    pub(super) fn push(&mut self, request: AdmissionRequest, now: Millis) {
        self.queue.push(QueuedRequest { request, queued_at: now });
    }

    pub(super) fn remove(&mut self, id: AdmissionId) {
        self.queue.retain(|it| it.request.id != id);
    }

    pub(super) fn retain_runs(&mut self, alive: &HashSet<RunTag>) {
        self.queue.retain(|it| alive.contains(&it.request.id.run));
    }

    /// Removes the requests whose wait has timed out and returns their IDs.
    pub(super) fn remove_timed_out(&mut self, now: Millis) -> Vec<AdmissionId> {
        let timed_out: Vec<AdmissionId> =
            self.queue.iter().filter(|it| it.has_timed_out(now)).map(|it| it.request.id).collect();
        self.queue.retain(|it| !it.has_timed_out(now));
        timed_out
    }

    /// Returns the admissible request to admit next.
    ///
    /// Requests are ordered by aged priority, then by the grants of their
    /// workspace relative to its share, fewest first, then by arrival.
    pub(super) fn next_admissible(
        &self,
        is_admissible: impl Fn(&AdmissionRequest) -> bool,
        share_ratio: impl Fn(&AdmissionRequest) -> f64,
        now: Millis,
    ) -> Option<AdmissionRequest> {
        let order = |a: &&QueuedRequest, b: &&QueuedRequest| {
            b.aged_priority(now)
                .cmp(&a.aged_priority(now))
                .then(share_ratio(&a.request).total_cmp(&share_ratio(&b.request)))
                .then(a.queued_at.cmp(&b.queued_at))
        };
        self.queue.iter().filter(|it| is_admissible(&it.request)).min_by(order).map(|it| it.request)
    }

    /// Removes the lowest-ranked request if it ranks below `request`.
    ///
    /// Requests of workspaces over their fair share rank below all others; within
    /// both groups, requests are ranked by aged priority. Of several requests
    /// that rank lowest, the oldest is removed.
    pub(super) fn evict_lower_priority(
        &mut self,
        request: &AdmissionRequest,
        over_share: bool,
        is_over_share: impl Fn(&AdmissionRequest) -> bool,
        now: Millis,
    ) -> Option<AdmissionId> {
        let rank =
            |it: &QueuedRequest| (!is_over_share(&it.request), it.aged_priority(now), it.queued_at);
        let lowest = self.queue.iter().min_by_key(|it| rank(it))?;
        let new_rank = (!over_share, u64::from(request.priority));
        let id = lowest.request.id;
        if (rank(lowest).0, rank(lowest).1) >= new_rank {
            return None;
        }
        self.remove(id);
        Some(id)
    }
}
