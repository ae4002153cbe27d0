use std::collections::HashSet;

use super::{Ask, AskId};
use crate::{members::RunTag, time::Millis};

/// Wait that raises a request by one priority level, in milliseconds.
const AGING_MS: u64 = 500;

#[derive(Debug, Clone, Copy)]
struct Waiter {
    ask: Ask,
    since: Millis,
}

impl Waiter {
    fn is_late(&self, now: Millis) -> bool {
        now.since(self.since) >= u64::from(self.ask.queue_ms)
    }

    /// Priority that rises with the wait, so that none waits for ever.
    fn level(&self, now: Millis) -> u64 {
        u64::from(self.ask.priority) + now.since(self.since) / AGING_MS
    }
}

/// The requests that wait for one engine.
#[derive(Debug, Default)]
pub(super) struct Waiters {
    queue: Vec<Waiter>,
}

impl Waiters {
    pub(super) fn len(&self) -> usize {
        self.queue.len()
    }

    pub(super) fn contains(&self, id: AskId) -> bool {
        self.queue.iter().any(|it| it.ask.id == id)
    }

    pub(super) fn push(&mut self, ask: Ask, now: Millis) {
        self.queue.push(Waiter { ask, since: now });
    }

    pub(super) fn remove(&mut self, id: AskId) {
        self.queue.retain(|it| it.ask.id != id);
    }

    pub(super) fn retain_runs(&mut self, alive: &HashSet<RunTag>) {
        self.queue.retain(|it| alive.contains(&it.ask.id.run));
    }

    /// Removes and returns the requests that waited too long.
    pub(super) fn take_late(&mut self, now: Millis) -> Vec<AskId> {
        let late: Vec<AskId> =
            self.queue.iter().filter(|it| it.is_late(now)).map(|it| it.ask.id).collect();
        self.queue.retain(|it| !it.is_late(now));
        late
    }

    /// Returns the request to let in next among those that may enter: by aged
    /// priority, then the workspace that holds least for its share, then by
    /// arrival.
    pub(super) fn best(
        &self,
        may_enter: impl Fn(&Ask) -> bool,
        share_ratio: impl Fn(&Ask) -> f64,
        now: Millis,
    ) -> Option<Ask> {
        let better = |a: &&Waiter, b: &&Waiter| {
            b.level(now)
                .cmp(&a.level(now))
                .then(share_ratio(&a.ask).total_cmp(&share_ratio(&b.ask)))
                .then(a.since.cmp(&b.since))
        };
        self.queue.iter().filter(|it| may_enter(&it.ask)).min_by(better).map(|it| it.ask)
    }

    /// Removes the least urgent request if it is less urgent than `ask`.
    pub(super) fn evict_below(
        &mut self,
        ask: &Ask,
        over: bool,
        is_over: impl Fn(&Ask) -> bool,
        now: Millis,
    ) -> Option<AskId> {
        let rank = |it: &Waiter| (!is_over(&it.ask), it.level(now), it.since);
        let worst = self.queue.iter().min_by_key(|it| rank(it))?;
        let new = (!over, u64::from(ask.priority));
        let id = worst.ask.id;
        if (rank(worst).0, rank(worst).1) >= new {
            return None;
        }
        self.remove(id);
        Some(id)
    }
}
