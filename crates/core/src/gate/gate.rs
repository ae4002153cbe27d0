use std::collections::{HashMap, HashSet};

use super::{Ask, AskId, Limits, Verdict, waiters::Waiters};
use crate::{members::RunTag, time::Millis};

/// Share of the headroom between the mean and the bound that admission uses.
/// The mean falls while admitted requests stay, so a gate that filled the
/// headroom would soon be over the bound.
const AIM: f64 = 0.5;
/// How long a mean load that a router has seen counts, in milliseconds.
const SEEN_MS: u64 = 100;
/// Share of an engine's slots above which workspaces are held to their shares.
const CONTENTION: f64 = 0.75;
/// Weight of the newest sample in the mean hold time.
const HOLD_GAIN: f64 = 0.1;
/// Mean hold time assumed before the first sample, in milliseconds.
const INITIAL_HOLD_MS: f64 = 100.0;

#[derive(Debug, Clone, Copy)]
pub(super) struct Grant {
    workspace: u32,
    share: f32,
    fingerprint: u32,
    suspect: bool,
    at: Millis,
    lapses_at: Millis,
}

/// Requests of one workspace that hold a grant.
#[derive(Debug, Clone, Copy, Default)]
struct Holding {
    count: u32,
    share: f32,
}

/// The admission state of one engine.
#[derive(Debug)]
pub struct Gate {
    grants: HashMap<AskId, Grant>,
    holdings: HashMap<u32, Holding>,
    waiters: Waiters,
    mean_hold_ms: f64,
    inherited: u32,
    inherited_until: Millis,
    seen_mean: f64,
    seen_at: Millis,
}

impl Default for Gate {
    fn default() -> Gate {
        Gate {
            grants: HashMap::new(),
            holdings: HashMap::new(),
            waiters: Waiters::default(),
            mean_hold_ms: INITIAL_HOLD_MS,
            inherited: 0,
            inherited_until: Millis::default(),
            seen_mean: 0.0,
            seen_at: Millis::default(),
        }
    }
}

impl Gate {
    /// Creates the gate of a router that takes an engine over.
    ///
    /// The load that the previous home had let in is unknown; until `until`
    /// the engine's reported load stands for it.
    pub fn inherit(reported: u32, until: Millis) -> Gate {
        Gate { inherited: reported, inherited_until: until, ..Gate::default() }
    }

    /// Returns the number of requests let in and not yet released.
    pub fn load(&self) -> u32 {
        self.grants.len() as u32 + self.inherited
    }

    fn forget_inherited(&mut self, now: Millis) {
        if now >= self.inherited_until {
            self.inherited = 0;
        }
    }

    /// Returns the number of requests that wait.
    pub fn queued(&self) -> usize {
        self.waiters.len()
    }

    /// Decides on a request for admission.
    ///
    /// Requests that must give up their place in the queue to a more urgent
    /// one are added to `evicted`.
    pub fn ask(
        &mut self,
        ask: Ask,
        limits: &Limits,
        now: Millis,
        evicted: &mut Vec<(AskId, Verdict)>,
    ) -> Verdict {
        self.forget_inherited(now);
        self.see(f64::from(ask.seen_mean), now);
        if self.grants.contains_key(&ask.id) {
            return Verdict::Granted { load: self.load() };
        }
        if self.waiters.contains(ask.id) {
            return Verdict::Queued;
        }
        if self.may_enter(&ask, limits) {
            return self.grant(&ask, now);
        }
        if ask.queue_ms == 0 && self.has_copy(&ask) {
            return Verdict::Duplicate;
        }
        if ask.queue_ms == 0 {
            return Verdict::Full { load: self.load(), waiting: self.waiters.len() as u32 };
        }
        self.enqueue(ask, limits, now, evicted)
    }

    fn enqueue(
        &mut self,
        ask: Ask,
        limits: &Limits,
        now: Millis,
        evicted: &mut Vec<(AskId, Verdict)>,
    ) -> Verdict {
        let refused = Verdict::Refused { retry_ms: self.retry_ms(limits) };
        let over = self.is_over_share(&ask, limits);
        if self.waiters.len() < limits.queue_limit as usize {
            self.waiters.push(ask, now);
            return Verdict::Queued;
        }
        let holdings = &self.holdings;
        let is_over = |other: &Ask| is_over_share(holdings, other, limits);
        match self.waiters.evict_below(&ask, over, is_over, now) {
            Some(id) => {
                evicted.push((id, refused));
                self.waiters.push(ask, now);
                Verdict::Queued
            }
            None => refused,
        }
    }

    /// Takes back a grant or a place in the queue.
    pub fn release(&mut self, id: AskId, now: Millis) {
        self.waiters.remove(id);
        if let Some(grant) = self.grants.remove(&id) {
            self.forget_holding(&grant);
            let held = now.since(grant.at) as f64;
            self.mean_hold_ms += (held - self.mean_hold_ms) * HOLD_GAIN;
        }
    }

    /// Takes back everything that runs of routers held which are not `alive`.
    pub fn retain_runs(&mut self, alive: &HashSet<RunTag>) {
        self.waiters.retain_runs(alive);
        let lost: Vec<AskId> =
            self.grants.keys().filter(|id| !alive.contains(&id.run)).copied().collect();
        self.drop_grants(&lost);
    }

    /// Lets waiting requests in as far as the limits allow, and turns away
    /// those that waited too long.
    pub fn settle(&mut self, limits: &Limits, now: Millis) -> Vec<(AskId, Verdict)> {
        self.forget_inherited(now);
        let lapsed: Vec<AskId> =
            self.grants.iter().filter(|(_, it)| now >= it.lapses_at).map(|(&id, _)| id).collect();
        self.drop_grants(&lapsed);
        let refused = Verdict::Refused { retry_ms: self.retry_ms(limits) };
        let late = self.waiters.take_late(now);
        let mut verdicts: Vec<_> = late.into_iter().map(|id| (id, refused)).collect();
        while let Some(ask) = self.next_waiter(limits, now) {
            self.waiters.remove(ask.id);
            let granted = self.grant(&ask, now);
            verdicts.push((ask.id, granted));
        }
        verdicts
    }

    fn next_waiter(&self, limits: &Limits, now: Millis) -> Option<Ask> {
        let may_enter = |ask: &Ask| self.may_enter(ask, limits);
        let ratio = |ask: &Ask| self.share_ratio(ask);
        self.waiters.best(may_enter, ratio, now)
    }

    /// Returns whether the bound, the slots and the workspace's share leave
    /// room for one more request.
    ///
    /// The last quarter of the slots is kept from workspaces over their share,
    /// so that a surge does not make the others wait.
    fn may_enter(&self, ask: &Ask, limits: &Limits) -> bool {
        self.load() < self.limit(limits)
            && !self.is_over_share(ask, limits)
            && !self.is_barred_suspect(ask)
            && !self.has_copy(ask)
    }

    fn has_copy(&self, ask: &Ask) -> bool {
        self.grants.values().any(|it| it.fingerprint == ask.fingerprint)
    }

    /// Suspects run apart, so that an innocent one is not open at the death
    /// that the guilty one causes next.
    fn is_barred_suspect(&self, ask: &Ask) -> bool {
        ask.suspect && self.grants.values().any(|it| it.suspect)
    }

    /// Returns the highest load allowed now.
    ///
    /// Rounding up the mean keeps the bound reachable: some engine is always
    /// at or below the mean, so not every engine can be full below its slots.
    fn limit(&self, limits: &Limits) -> u32 {
        let total = f64::from(limits.others_load + self.load() + 1);
        let mean = (total / f64::from(limits.engines.max(1))).max(self.seen_mean);
        let aim = 1.0 + (limits.bound - 1.0) * AIM;
        let bounded = (aim * mean).floor().max(mean.ceil());
        (bounded as u32).min(limits.slots)
    }

    fn is_over_share(&self, ask: &Ask, limits: &Limits) -> bool {
        is_over_share(&self.holdings, ask, limits)
    }

    fn share_ratio(&self, ask: &Ask) -> f64 {
        let held = self.holdings.get(&ask.workspace).map_or(0, |it| it.count);
        f64::from(held) / f64::from(ask.share.max(f32::MIN_POSITIVE))
    }

    fn grant(&mut self, ask: &Ask, now: Millis) -> Verdict {
        let grant = Grant {
            workspace: ask.workspace,
            share: ask.share,
            fingerprint: ask.fingerprint,
            suspect: ask.suspect,
            at: now,
            lapses_at: now + u64::from(ask.hold_ms),
        };
        self.grants.insert(ask.id, grant);
        let holding = self.holdings.entry(ask.workspace).or_default();
        holding.count += 1;
        holding.share = grant.share;
        Verdict::Granted { load: self.load() }
    }

    /// Takes in the pool's mean load as a router has seen it, which may be
    /// newer than what gossip tells.
    fn see(&mut self, mean: f64, now: Millis) {
        if mean >= self.seen_mean || now.since(self.seen_at) >= SEEN_MS {
            self.seen_mean = mean;
            self.seen_at = now;
        }
    }

    fn drop_grants(&mut self, ids: &[AskId]) {
        for id in ids {
            if let Some(grant) = self.grants.remove(id) {
                self.forget_holding(&grant);
            }
        }
    }

    fn forget_holding(&mut self, grant: &Grant) {
        if let Some(holding) = self.holdings.get_mut(&grant.workspace) {
            holding.count -= 1;
            if holding.count == 0 {
                self.holdings.remove(&grant.workspace);
            }
        }
    }

    fn retry_ms(&self, limits: &Limits) -> u32 {
        let rounds = (self.waiters.len() as f64 / f64::from(limits.slots.max(1))).max(1.0);
        (rounds * self.mean_hold_ms).clamp(50.0, 30_000.0) as u32
    }
}

/// Returns whether one more request would put the workspace over its share of
/// a contended engine.
fn is_over_share(holdings: &HashMap<u32, Holding>, ask: &Ask, limits: &Limits) -> bool {
    let load: u32 = holdings.values().map(|it| it.count).sum();
    let slots = f64::from(limits.slots);
    if f64::from(load) < slots * CONTENTION {
        return false;
    }
    let own = holdings.get(&ask.workspace).map_or(0, |it| it.count);
    let others: f32 =
        holdings.iter().filter(|(id, _)| **id != ask.workspace).map(|(_, it)| it.share).sum();
    let fair = slots * f64::from(ask.share) / f64::from(ask.share + others);
    f64::from(own) >= fair.max(1.0)
}
