//! Health of one endpoint, learned from the requests sent to it.

use std::ops::Add;

use mimosaledge_core::Millis;

/// Time in which outcomes lose half of their weight, in milliseconds.
const FORGET_MS: f64 = 3_000.0;
/// Good outcomes that are taken for granted, so that one failure says little.
const PRIOR_GOOD: f64 = 6.0;
/// First pause before an endpoint that cannot be reached is tried again, in
/// milliseconds.
const FIRST_PAUSE_MS: u64 = 250;
/// Longest pause before such an endpoint is tried again, in milliseconds.
const MAX_PAUSE_MS: u64 = 1_000;
/// Requests without any answer in a row that count as unreachable.
const SILENT_LIMIT: u32 = 2;

/// How a request to an endpoint ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered.
    Answered,
    /// It was answered with a server error, spoiled or cut.
    Failed,
    /// It was refused without having run.
    Refused,
    /// There was no answer in time.
    Silent,
    /// No connection could be made.
    Unreachable,
}

/// Good and bad outcomes, weighted by their age.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Tally {
    /// Requests that were answered.
    pub good: f64,
    /// Requests that failed.
    pub bad: f64,
}

impl Tally {
    /// Returns the share of requests that fail.
    pub fn failing(self) -> f64 {
        self.bad / (self.good + self.bad + PRIOR_GOOD)
    }
}

impl Add for Tally {
    type Output = Tally;

    fn add(self, other: Tally) -> Tally {
        Tally { good: self.good + other.good, bad: self.bad + other.bad }
    }
}

/// What is known of one endpoint's health.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Health {
    tally: Tally,
    updated: Millis,
    silent: u32,
    down: Option<Down>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Down {
    until: Millis,
    pause_ms: u64,
}

impl Health {
    /// Notes how a request ended.
    pub fn note(&mut self, outcome: Outcome, now: Millis) {
        match outcome {
            Outcome::Answered => {
                self.count(true, now);
                self.silent = 0;
                self.down = None;
            }
            Outcome::Failed | Outcome::Refused => {
                self.count(false, now);
                self.silent = 0;
            }
            Outcome::Silent => {
                self.count(false, now);
                self.silent += 1;
                if self.silent >= SILENT_LIMIT {
                    self.mark_down(now);
                }
            }
            Outcome::Unreachable => self.mark_down(now),
        }
    }

    /// Notes that a trial connection was accepted.
    pub fn note_reachable(&mut self) {
        self.down = None;
        self.silent = 0;
    }

    /// Returns whether the endpoint may be sent requests.
    pub fn is_up(&self) -> bool {
        self.down.is_none()
    }

    /// Returns whether an endpoint that is down is due for a trial connection,
    /// and puts off the next one.
    pub fn take_trial(&mut self, now: Millis) -> bool {
        match &mut self.down {
            Some(down) if now >= down.until => {
                down.pause_ms = (down.pause_ms * 2).min(MAX_PAUSE_MS);
                down.until = now + down.pause_ms;
                true
            }
            _ => false,
        }
    }

    /// Returns the outcomes so far, weighted by their age.
    pub fn tally(&self, now: Millis) -> Tally {
        let age = now.since(self.updated) as f64;
        let weight = 0.5f64.powf(age / FORGET_MS);
        Tally { good: self.tally.good * weight, bad: self.tally.bad * weight }
    }

    fn count(&mut self, good: bool, now: Millis) {
        let one = if good { Tally { good: 1.0, bad: 0.0 } } else { Tally { good: 0.0, bad: 1.0 } };
        self.tally = self.tally(now) + one;
        self.updated = now;
    }

    fn mark_down(&mut self, now: Millis) {
        if self.down.is_none() {
            self.down = Some(Down { until: now + FIRST_PAUSE_MS, pause_ms: FIRST_PAUSE_MS });
        }
    }
}
