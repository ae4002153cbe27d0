//! How many requests a service can take whose endpoints report no load.
//!
//! By Little's law, a service that completes `c` requests per millisecond has `c` times the
//! latency in flight. Requests beyond what it can answer within the latency goal would all wait
//! for each other and end late; only the endpoints' queues would bound their number.

use mimosaledge_core::Millis;

/// Share of the latency goal that requests may spend at an endpoint on average; the rest is left
/// for those that take longer, and for what other gateways have sent meanwhile.
const GOAL_SHARE: f64 = 0.65;
/// Share of the timeout that requests may spend at endpoints that cannot meet the goal.
const TIMEOUT_SHARE: f64 = 0.5;
/// Weight of one answer in the mean work time.
const ANSWER_WEIGHT: f64 = 0.1;
/// Requests in flight per slot up to which none is assumed to wait.
const IDLE_LOAD: f64 = 0.5;
/// Requests in flight per slot from which a service completes as many requests as it can.
const BUSY_LOAD: f64 = 1.5;
/// Time constant with which the capacity falls to what a busy service completes, in milliseconds;
/// that may be little because little was admitted shortly before.
const FALL_MS: f64 = 3_000.0;
/// Time constant with which the capacity rises again when the service is not busy, in
/// milliseconds.
const RISE_MS: f64 = 500.0;
/// Multiple of the work time up to which a request is taken to have found a free slot.
const NO_WAIT: f64 = 1.5;
/// Time for which an answer without a wait shows that there is room, in milliseconds; it is more
/// recent than what other gateways have told.
const EVIDENCE_MS: u64 = 300;
/// Time in which the load should reach the limit, in milliseconds.
///
/// It is longer than the time after which gateways learn of each other's requests: otherwise they
/// would all admit too much until they hear of it, and then all too little.
const SETTLING_MS: f64 = 2_500.0;

/// Requests of all gateways to one service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Rates {
    /// Requests that arrive per millisecond.
    pub arrivals_per_ms: f64,
    /// Requests that the endpoints complete per millisecond.
    pub completions_per_ms: f64,
}

/// What is known of the endpoints of a service at one time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Occupancy {
    /// Requests in flight there, of all gateways.
    pub load: f64,
    /// Requests that the endpoints run at a time.
    pub slots: f64,
}

/// Time within which requests of a route should be answered, and must be.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Times {
    /// Target latency, in milliseconds.
    pub goal_ms: u64,
    /// Timeout, in milliseconds.
    pub timeout_ms: u64,
}

/// What the endpoints of a service can complete.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Capacity {
    /// Mean time that a request takes which does not wait, in milliseconds.
    work_ms: Option<f64>,
    /// Requests that each slot can complete per millisecond, as far as is known.
    slot_per_ms: Option<f64>,
    updated: Millis,
    /// When an endpoint last answered a request that had not waited there.
    room_seen: Option<Millis>,
}

impl Capacity {
    /// Records an answer after `duration_ms` of an endpoint with `slots` at which `load` requests
    /// were in flight, this one included.
    pub fn record_answer(&mut self, duration_ms: u64, load: f64, slots: u32, now: Millis) {
        let duration_ms = duration_ms.max(1) as f64;
        let had_room = self.work_ms.is_some_and(|it| duration_ms <= it * NO_WAIT);
        self.room_seen = if had_room { Some(now) } else { None };
        if load > (f64::from(slots) * IDLE_LOAD).max(1.0) {
            return;
        }
        let work_ms = self.work_ms.get_or_insert(duration_ms);
        *work_ms += ANSWER_WEIGHT * (duration_ms - *work_ms);
    }

    /// Returns how many requests may be in flight so that each ends in time; at least `slots`.
    ///
    /// Returns `None` as long as it is not known how long a request takes.
    pub fn limit(&self, occupancy: Occupancy, times: Times) -> Option<f64> {
        let per_ms = self.slot_per_ms()? * occupancy.slots;
        let within_goal = per_ms * times.goal_ms as f64 * GOAL_SHARE;
        let limit = match within_goal >= occupancy.slots {
            true => within_goal,
            false => per_ms * times.timeout_ms as f64 * TIMEOUT_SHARE,
        };
        Some(limit.max(occupancy.slots))
    }

    /// Returns the share of the requests of all gateways that the service has room for, and takes
    /// into account how many it completes.
    pub fn admitted_share(
        &mut self,
        occupancy: Occupancy,
        times: Times,
        rates: Rates,
        now: Millis,
    ) -> f64 {
        self.update(occupancy, rates.completions_per_ms, now);
        let has_free_slot = occupancy.load + 1.0 <= occupancy.slots;
        if has_free_slot || self.room_seen.is_some_and(|it| now.since(it) < EVIDENCE_MS) {
            return 1.0;
        }
        let Some(limit) = self.limit(occupancy, times) else { return 1.0 };
        let per_ms = self.slot_per_ms().unwrap_or_default() * occupancy.slots;
        let room = limit - occupancy.load + per_ms * SETTLING_MS;
        let arrivals = rates.arrivals_per_ms * SETTLING_MS;
        if arrivals <= room { 1.0 } else { (room / arrivals).max(0.0) }
    }

    /// Returns the requests that each slot can complete per millisecond.
    fn slot_per_ms(&self) -> Option<f64> {
        self.slot_per_ms.or(self.work_ms.map(|it| 1.0 / it))
    }

    fn update(&mut self, occupancy: Occupancy, completions_per_ms: f64, now: Millis) {
        let (Some(work_ms), Some(known)) = (self.work_ms, self.slot_per_ms()) else { return };
        let age_ms = now.since(std::mem::replace(&mut self.updated, now)) as f64;
        let completed = completions_per_ms / occupancy.slots.max(1.0);
        let is_busy = occupancy.load >= occupancy.slots * BUSY_LOAD;
        self.slot_per_ms = Some(match is_busy {
            _ if completed >= known => completed,
            true => approach(known, completed, age_ms / FALL_MS),
            false => approach(known, 1.0 / work_ms, age_ms / RISE_MS),
        });
    }
}

/// Returns `value` after `periods` time constants in which it approaches `target`.
fn approach(value: f64, target: f64, periods: f64) -> f64 {
    target + (value - target) * (-periods).exp()
}
