use std::collections::{HashMap, HashSet};

use super::{AdmissionId, AdmissionRequest, Decision, Limits, wait_queue::WaitQueue};
use crate::{members::RunTag, time::Millis};

/// Fraction of the headroom between the mean load and the bound that admission
/// uses. The mean can fall while admitted requests are still running, so using
/// all of the headroom would soon put the engine over its bound.
const HEADROOM_FRACTION: f64 = 0.5;
/// Time after which a mean load observed by a router may be replaced by a lower
/// one, in milliseconds; a higher one replaces it at once.
const OBSERVED_MEAN_TTL_MS: u64 = 100;
/// Fraction of an engine's slots in use at which workspaces begin to be limited
/// to their fair shares.
const CONTENTION_THRESHOLD: f64 = 0.75;
/// Weight of the newest sample in the moving average of grant hold times.
const HOLD_EWMA_WEIGHT: f64 = 0.1;
/// Initial value of the average hold time, in milliseconds.
const INITIAL_HOLD_MS: f64 = 100.0;

#[derive(Debug, Clone, Copy)]
pub(super) struct Grant {
    workspace: u32,
    share: f32,
    fingerprint: u32,
    suspect: bool,
    granted_at: Millis,
    expires_at: Millis,
}

/// The grants that one workspace holds.
#[derive(Debug, Clone, Copy, Default)]
struct WorkspaceUsage {
    count: u32,
    share: f32,
}

/// Admits requests to one engine and queues those that have to wait.
#[derive(Debug)]
pub struct AdmissionController {
    grants: HashMap<AdmissionId, Grant>,
    usage: HashMap<u32, WorkspaceUsage>,
    queue: WaitQueue,
    mean_hold_ms: f64,
    /// Load counted in place of the unknown grants of the previous admission home.
    inherited_load: u32,
    inherited_until: Millis,
    /// Highest recent mean load of the pool that routers have observed.
    observed_mean: f64,
    observed_at: Millis,
}

impl Default for AdmissionController {
    fn default() -> AdmissionController {
        AdmissionController {
            grants: HashMap::new(),
            usage: HashMap::new(),
            queue: WaitQueue::default(),
            mean_hold_ms: INITIAL_HOLD_MS,
            inherited_load: 0,
            inherited_until: Millis::default(),
            observed_mean: 0.0,
            observed_at: Millis::default(),
        }
    }
}

impl AdmissionController {
    /// Creates the controller of a router that becomes the engine's admission
    /// home.
    ///
    /// The grants of the previous home are unknown, so the load that the engine
    /// reported is counted in their place until `until`.
    pub fn with_inherited_load(reported: u32, until: Millis) -> AdmissionController {
        AdmissionController {
            inherited_load: reported,
            inherited_until: until,
            ..AdmissionController::default()
        }
    }

    /// Returns the number of unreleased grants plus the inherited load.
    pub fn load(&self) -> u32 {
        self.grants.len() as u32 + self.inherited_load
    }

    fn expire_inherited_load(&mut self, now: Millis) {
        if now >= self.inherited_until {
            self.inherited_load = 0;
        }
    }

    /// Returns the number of queued requests.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Grants, queues or rejects a request.
    ///
    /// A queued request that is evicted in favour of this one is added to
    /// `evicted` together with its rejection.
    pub fn decide(
        &mut self,
        request: AdmissionRequest,
        limits: &Limits,
        now: Millis,
        evicted: &mut Vec<(AdmissionId, Decision)>,
    ) -> Decision {
        self.expire_inherited_load(now);
        self.update_observed_mean(f64::from(request.observed_mean), now);
        if self.grants.contains_key(&request.id) {
            return Decision::Granted { load: self.load() };
        }
        if self.queue.contains(request.id) {
            return Decision::Queued;
        }
        if self.is_admissible(&request, limits) {
            return self.grant(&request, now);
        }
        if request.queue_ms == 0 && self.has_duplicate(&request) {
            return Decision::Duplicate;
        }
        if request.queue_ms == 0 {
            return Decision::Full { load: self.load(), waiting: self.queue.len() as u32 };
        }
        self.enqueue(request, limits, now, evicted)
    }

    fn enqueue(
        &mut self,
        request: AdmissionRequest,
        limits: &Limits,
        now: Millis,
        evicted: &mut Vec<(AdmissionId, Decision)>,
    ) -> Decision {
        let rejection = Decision::Refused { retry_ms: self.estimate_retry_ms(limits) };
        let over_share = self.is_over_share(&request, limits);
        if self.queue.len() < limits.queue_limit as usize {
            self.queue.push(request, now);
            return Decision::Queued;
        }
        let usage = &self.usage;
        let is_over_share = |other: &AdmissionRequest| is_over_share(usage, other, limits);
        match self.queue.evict_lower_priority(&request, over_share, is_over_share, now) {
            Some(id) => {
                evicted.push((id, rejection));
                self.queue.push(request, now);
                Decision::Queued
            }
            None => rejection,
        }
    }

    /// Releases a grant or cancels a queued request.
    pub fn release(&mut self, id: AdmissionId, now: Millis) {
        self.queue.remove(id);
        if let Some(grant) = self.grants.remove(&id) {
            self.decrement_usage(&grant);
            let held_ms = now.since(grant.granted_at) as f64;
            self.mean_hold_ms += (held_ms - self.mean_hold_ms) * HOLD_EWMA_WEIGHT;
        }
    }

    /// Removes the grants and queued requests of router runs not in `alive`.
    pub fn retain_runs(&mut self, alive: &HashSet<RunTag>) {
        self.queue.retain_runs(alive);
        let orphaned: Vec<AdmissionId> =
            self.grants.keys().filter(|id| !alive.contains(&id.run)).copied().collect();
        self.remove_grants(&orphaned);
    }

    /// Expires grants, rejects queued requests whose wait has timed out, and
    /// admits others as far as the limits allow.
    ///
    /// Returns the decisions to send to the requesting routers.
    pub fn process_queue(&mut self, limits: &Limits, now: Millis) -> Vec<(AdmissionId, Decision)> {
        self.expire_inherited_load(now);
        let expired: Vec<AdmissionId> =
            self.grants.iter().filter(|(_, it)| now >= it.expires_at).map(|(&id, _)| id).collect();
        self.remove_grants(&expired);
        let rejection = Decision::Refused { retry_ms: self.estimate_retry_ms(limits) };
        let timed_out = self.queue.remove_timed_out(now);
        let mut decisions: Vec<_> = timed_out.into_iter().map(|id| (id, rejection)).collect();
        while let Some(request) = self.next_queued(limits, now) {
            self.queue.remove(request.id);
            let granted = self.grant(&request, now);
            decisions.push((request.id, granted));
        }
        decisions
    }

    fn next_queued(&self, limits: &Limits, now: Millis) -> Option<AdmissionRequest> {
        let is_admissible = |request: &AdmissionRequest| self.is_admissible(request, limits);
        let ratio = |request: &AdmissionRequest| self.share_ratio(request);
        self.queue.next_admissible(is_admissible, ratio, now)
    }

    /// Returns whether `request` may be admitted now.
    ///
    /// The last quarter of the slots is closed to workspaces over their fair
    /// share, so that a burst from one workspace does not delay the others.
    fn is_admissible(&self, request: &AdmissionRequest, limits: &Limits) -> bool {
        self.load() < self.limit(limits)
            && !self.is_over_share(request, limits)
            && !self.is_blocked_suspect(request)
            && !self.has_duplicate(request)
    }

    fn has_duplicate(&self, request: &AdmissionRequest) -> bool {
        self.grants.values().any(|it| it.fingerprint == request.fingerprint)
    }

    /// Returns whether `request` is a crash suspect and another one is running.
    ///
    /// Suspects run one at a time so that a harmless one is not in flight when
    /// the request that caused the crash causes the next one.
    fn is_blocked_suspect(&self, request: &AdmissionRequest) -> bool {
        request.suspect && self.grants.values().any(|it| it.suspect)
    }

    /// Returns the maximum load at present.
    ///
    /// The limit is at least the mean rounded up. The mean includes the new
    /// request, so some engine is always below it, and the load bound alone never
    /// makes every engine of the pool reject a request while slots are free.
    fn limit(&self, limits: &Limits) -> u32 {
        let total = f64::from(limits.others_load + self.load() + 1);
        let mean = (total / f64::from(limits.engines.max(1))).max(self.observed_mean);
        let factor = 1.0 + (limits.bound - 1.0) * HEADROOM_FRACTION;
        let bounded = (factor * mean).floor().max(mean.ceil());
        (bounded as u32).min(limits.slots)
    }

    fn is_over_share(&self, request: &AdmissionRequest, limits: &Limits) -> bool {
        is_over_share(&self.usage, request, limits)
    }

    fn share_ratio(&self, request: &AdmissionRequest) -> f64 {
        let held = self.usage.get(&request.workspace).map_or(0, |it| it.count);
        f64::from(held) / f64::from(request.share.max(f32::MIN_POSITIVE))
    }

    fn grant(&mut self, request: &AdmissionRequest, now: Millis) -> Decision {
        let grant = Grant {
            workspace: request.workspace,
            share: request.share,
            fingerprint: request.fingerprint,
            suspect: request.suspect,
            granted_at: now,
            expires_at: now + u64::from(request.grant_ttl_ms),
        };
        self.grants.insert(request.id, grant);
        let usage = self.usage.entry(request.workspace).or_default();
        usage.count += 1;
        usage.share = grant.share;
        Decision::Granted { load: self.load() }
    }

    /// Updates the pool's mean load with a value observed by a router, which
    /// may be more recent than the loads learned by gossip.
    fn update_observed_mean(&mut self, mean: f64, now: Millis) {
        if mean >= self.observed_mean || now.since(self.observed_at) >= OBSERVED_MEAN_TTL_MS {
            self.observed_mean = mean;
            self.observed_at = now;
        }
    }

    fn remove_grants(&mut self, ids: &[AdmissionId]) {
        for id in ids {
            if let Some(grant) = self.grants.remove(id) {
                self.decrement_usage(&grant);
            }
        }
    }

    fn decrement_usage(&mut self, grant: &Grant) {
        if let Some(usage) = self.usage.get_mut(&grant.workspace) {
            usage.count -= 1;
            if usage.count == 0 {
                self.usage.remove(&grant.workspace);
            }
        }
    }

    /// Estimates the time until the current queue has drained, in milliseconds.
    fn estimate_retry_ms(&self, limits: &Limits) -> u32 {
        let rounds = (self.queue.len() as f64 / f64::from(limits.slots.max(1))).max(1.0);
        (rounds * self.mean_hold_ms).clamp(50.0, 30_000.0) as u32
    }
}

/// Returns whether one more request would put its workspace over its fair share
/// of a contended engine.
fn is_over_share(
    usage: &HashMap<u32, WorkspaceUsage>,
    request: &AdmissionRequest,
    limits: &Limits,
) -> bool {
    let load: u32 = usage.values().map(|it| it.count).sum();
    let slots = f64::from(limits.slots);
    if f64::from(load) < slots * CONTENTION_THRESHOLD {
        return false;
    }
    let own = usage.get(&request.workspace).map_or(0, |it| it.count);
    let others: f32 =
        usage.iter().filter(|(id, _)| **id != request.workspace).map(|(_, it)| it.share).sum();
    let fair = slots * f64::from(request.share) / f64::from(request.share + others);
    f64::from(own) >= fair.max(1.0)
}
