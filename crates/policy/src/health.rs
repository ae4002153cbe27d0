//! Health of one endpoint, derived from the outcomes of requests sent to it.

use std::ops::Add;

use mimosaledge_core::Millis;

use crate::settings::PolicySettings;

/// Time in which the weight of an outcome halves, in milliseconds.
const HALF_LIFE_MS: f64 = 3_000.0;
/// Successes that are added to the observed ones, so that a single failure
/// among few requests does not give a high failure rate.
const PRIOR_SUCCESSES: f64 = 6.0;
/// Delay before the first probe of an endpoint that is down, in milliseconds.
const INITIAL_BACKOFF_MS: u64 = 250;
/// Maximum delay between two probes of an endpoint that is down, in
/// milliseconds.
const MAX_BACKOFF_MS: u64 = 1_000;

/// How a request to an endpoint ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint responded, and not with a server error.
    Answered,
    /// Its response was a server error, invalid or incomplete.
    Failed,
    /// The endpoint rejected it without running it.
    Refused,
    /// No response came before the timeout.
    Silent,
    /// No connection could be established.
    Unreachable,
}

/// Numbers of requests by outcome, which decay with age.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Tally {
    /// Requests that succeeded.
    pub successes: f64,
    /// Requests that failed.
    pub failures: f64,
    /// Requests that the endpoint refused without running them.
    pub refusals: f64,
}

impl Tally {
    /// Returns the share of requests that failed, with `PRIOR_SUCCESSES` counted
    /// as additional successes.
    pub fn failure_rate(self) -> f64 {
        self.failures / self.weight()
    }

    /// Returns the share of requests that were refused, with `PRIOR_SUCCESSES`
    /// counted as additional successes.
    pub fn refusal_rate(self) -> f64 {
        self.refusals / self.weight()
    }

    /// Returns the number of requests, with `PRIOR_SUCCESSES`.
    pub(crate) fn weight(self) -> f64 {
        self.successes + self.failures + self.refusals + PRIOR_SUCCESSES
    }
}

impl Add for Tally {
    type Output = Tally;

    fn add(self, other: Tally) -> Tally {
        Tally {
            successes: self.successes + other.successes,
            failures: self.failures + other.failures,
            refusals: self.refusals + other.refusals,
        }
    }
}

/// Health of one endpoint, as this gateway has observed it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Health {
    tally: Tally,
    updated_at: Millis,
    consecutive_timeouts: u32,
    down: Option<Down>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Down {
    next_probe: Millis,
    backoff_ms: u64,
}

impl Health {
    /// Returns the health of an endpoint that counts as down until a probe has reached it,
    /// which is due at `now`.
    pub fn unproven(now: Millis) -> Health {
        let down = Some(Down { next_probe: now, backoff_ms: INITIAL_BACKOFF_MS });
        Health { down, ..Health::default() }
    }

    /// Records how a request ended.
    pub fn record(&mut self, settings: &PolicySettings, outcome: Outcome, now: Millis) {
        match outcome {
            Outcome::Answered => {
                self.add_outcome(Tally { successes: 1.0, ..Tally::default() }, now);
                self.consecutive_timeouts = 0;
                self.down = None;
            }
            Outcome::Failed => {
                self.add_outcome(Tally { failures: 1.0, ..Tally::default() }, now);
                self.consecutive_timeouts = 0;
            }
            Outcome::Refused => {
                self.add_outcome(Tally { refusals: 1.0, ..Tally::default() }, now);
                self.consecutive_timeouts = 0;
            }
            Outcome::Silent => {
                self.add_outcome(Tally { failures: 1.0, ..Tally::default() }, now);
                self.consecutive_timeouts += 1;
                if self.consecutive_timeouts >= settings.down_timeouts {
                    self.mark_down(now);
                }
            }
            Outcome::Unreachable => self.mark_down(now),
        }
    }

    /// Records that the endpoint accepted a connection or went on after a silence; it may
    /// be sent requests again.
    pub fn mark_reachable(&mut self) {
        self.down = None;
        self.consecutive_timeouts = 0;
    }

    /// Returns whether the endpoint may be sent requests.
    pub fn is_up(&self) -> bool {
        self.down.is_none()
    }

    /// Returns whether the endpoint is down and due for a probe, and if so,
    /// schedules the next one with exponential backoff.
    pub fn take_probe(&mut self, now: Millis) -> bool {
        match &mut self.down {
            Some(down) if now >= down.next_probe => {
                down.backoff_ms = (down.backoff_ms * 2).min(MAX_BACKOFF_MS);
                down.next_probe = now + down.backoff_ms;
                true
            }
            _ => false,
        }
    }

    /// Returns the tally of the outcomes so far, decayed to `now`.
    pub fn tally(&self, now: Millis) -> Tally {
        let age = now.since(self.updated_at) as f64;
        let weight = 0.5f64.powf(age / HALF_LIFE_MS);
        Tally {
            successes: self.tally.successes * weight,
            failures: self.tally.failures * weight,
            refusals: self.tally.refusals * weight,
        }
    }

    fn add_outcome(&mut self, one: Tally, now: Millis) {
        self.tally = self.tally(now) + one;
        self.updated_at = now;
    }

    fn mark_down(&mut self, now: Millis) {
        if self.down.is_none() {
            self.down =
                Some(Down { next_probe: now + INITIAL_BACKOFF_MS, backoff_ms: INITIAL_BACKOFF_MS });
        }
    }
}
