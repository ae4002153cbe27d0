//! Endpoints that are cold after their start, and how their load rises afterwards.
//!
//! A cold endpoint accepts only a few requests per second from all gateways together. Its entry in
//! the platform's list says how long it stays cold, but many gateways may know that the endpoint
//! is back before any has read the entry. Until then, one that may have started counts as
//! cold for as long as its service says. What another gateway tells can prolong that time;
//! only the entry can end it early, if it was written after the doubt arose.

use mimosaledge_core::Millis;

use crate::{config_extension::SlowStart, placement::Candidate};

/// Longest time for which an endpoint is believed to stay cold, in milliseconds.
const MAX_LEFT_MS: u64 = 60_000;
/// Time by which an endpoint must stay cold longer than was known for that to be news, in
/// milliseconds.
const MIN_NEWS_MS: u64 = 1_000;
/// Share of a cold endpoint's rate for which permits are issued; the rest is left for requests that
/// are sent some time after their permits were issued.
const ISSUED_SHARE: f64 = 0.9;
/// Share of the gateways that an issuer must hear.
const MIN_HEARD_SHARE: f64 = 1.0 / 3.0;
/// Load below the limit at which an endpoint is left, so that it is not taken for full.
const FREE_LOAD: f64 = 1.0;

/// How the endpoints of one service start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    /// Time for which an endpoint is cold after its start, in milliseconds.
    pub duration_ms: u64,
    /// Requests per second that a cold endpoint accepts from all gateways together.
    pub rate: f64,
}

impl From<&SlowStart> for Pace {
    fn from(it: &SlowStart) -> Pace {
        Pace { duration_ms: it.duration_ms.min(MAX_LEFT_MS), rate: it.rate }
    }
}

/// Why an endpoint counts as cold, or does not any more.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Evidence {
    /// It is new to this gateway.
    Novelty,
    /// Its entry.
    Entry,
    /// This gateway has found that it may have started, at this time.
    Found(Millis),
    /// Another gateway has told so, or this one cannot tell a start from a broken link, since this
    /// time.
    Doubt(Millis),
}

/// What one gateway knows of the start of one incarnation of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Warmup {
    pace: Option<Pace>,
    /// When it was first known to be cold.
    cold_from: Millis,
    cold_until: Millis,
    /// Until when this gateway knows from itself, or from the entry, that it is cold.
    own_until: Millis,
    evidence: Evidence,
}

impl Default for Warmup {
    /// Returns the state of an endpoint that is not cold unless its entry says so.
    fn default() -> Warmup {
        Warmup {
            pace: None,
            cold_from: Millis::default(),
            cold_until: Millis::default(),
            own_until: Millis::default(),
            evidence: Evidence::Entry,
        }
    }
}

impl Warmup {
    /// Returns the state of an endpoint that has appeared at `now`, and may have just started.
    pub fn appeared(now: Millis) -> Warmup {
        Warmup { cold_from: now, evidence: Evidence::Novelty, ..Warmup::default() }
    }

    /// Sets how the endpoints of the service start, or that they need no care.
    pub fn set_pace(&mut self, pace: Option<Pace>) {
        if let (None, Some(pace), Evidence::Novelty) = (self.pace, pace, self.evidence) {
            self.cold_until = self.cold_until.max(self.cold_from + pace.duration_ms);
        }
        self.pace = pace;
    }

    /// Applies that the endpoint has probably started at `now`; returns whether that is news.
    pub fn find(&mut self, now: Millis) -> bool {
        let is_news = self.doubt(now);
        if let Some(pace) = self.pace {
            self.evidence = Evidence::Found(now);
            self.own_until = now + pace.duration_ms;
        }
        is_news
    }

    /// Applies that the endpoint may have started at `now`, which other gateways need not know;
    /// returns whether that is news.
    pub fn doubt(&mut self, now: Millis) -> bool {
        let Some(pace) = self.pace else { return false };
        let is_news = self.prolong(now + pace.duration_ms, now);
        self.evidence = Evidence::Doubt(now);
        is_news
    }

    /// Applies its entry, by which it stays cold for `left_ms`; returns whether that is news.
    ///
    /// The entry was written after `written_after`, if that is known.
    pub fn apply_entry(
        &mut self,
        left_ms: u64,
        written_after: Option<Millis>,
        now: Millis,
    ) -> bool {
        let until = now + left_ms.min(MAX_LEFT_MS);
        if until > self.cold_until && left_ms > 0 {
            let is_news = self.prolong(until, now);
            self.own_until = until;
            if let Evidence::Novelty = self.evidence {
                self.evidence = Evidence::Entry;
            }
            return is_news;
        }
        let is_newer = match self.evidence {
            Evidence::Novelty => true,
            Evidence::Entry => written_after.is_some(),
            Evidence::Found(at) | Evidence::Doubt(at) => written_after.is_some_and(|it| it >= at),
        };
        if is_newer {
            self.cold_until = self.cold_until.min(until);
            self.own_until = self.cold_until;
            self.evidence = Evidence::Entry;
        }
        false
    }

    /// Applies that another gateway knows the endpoint to stay cold for `left_ms`; returns whether
    /// that is news.
    pub fn apply_sample(&mut self, left_ms: u64, now: Millis) -> bool {
        let until = now + left_ms.min(MAX_LEFT_MS);
        if self.evidence == Evidence::Novelty && until < self.cold_until {
            self.cold_until = until;
            self.evidence = Evidence::Doubt(now);
            return false;
        }
        let is_news = until > self.cold_until && left_ms > 0 && self.prolong(until, now);
        if is_news {
            self.evidence = Evidence::Doubt(now);
        }
        is_news
    }

    /// Returns whether endpoints of the service need care after their start.
    pub fn has_pace(&self) -> bool {
        self.pace.is_some()
    }

    /// Returns whether the endpoint is cold.
    pub fn is_cold(&self, now: Millis) -> bool {
        self.left_ms(now) > 0
    }

    /// Returns the time for which it stays cold, in milliseconds.
    pub fn left_ms(&self, now: Millis) -> u64 {
        self.pace.map_or(0, |_| self.cold_until.since(now))
    }

    /// Returns the requests per second that it accepts from all gateways, if it is cold.
    pub fn rate(&self, now: Millis) -> Option<f64> {
        self.pace.filter(|_| self.is_cold(now)).map(|it| it.rate)
    }

    /// Returns when it was first known to be cold.
    pub fn cold_from(&self) -> Millis {
        self.cold_from
    }

    /// Returns the time for which this gateway knows from itself, or from its entry, that it stays
    /// cold, in milliseconds.
    ///
    /// What it has only heard is not passed on: each hop would add the delay of a datagram.
    pub fn own_left_ms(&self, now: Millis) -> u64 {
        self.pace.map_or(0, |_| self.own_until.min(self.cold_until).since(now))
    }

    /// Returns how far its load still has to rise to that of the others: 1 while it is cold, then
    /// less and less, and 0 after one more of its service's durations.
    pub fn ramp(&self, now: Millis) -> f64 {
        let Some(pace) = self.pace.filter(|_| self.cold_until > Millis::default()) else {
            return 0.0;
        };
        let warm_ms = now.since(self.cold_until) as f64;
        (1.0 - warm_ms / pace.duration_ms.max(1) as f64).clamp(0.0, 1.0)
    }

    /// Lets it count as cold until `until` at least; returns whether that is news.
    fn prolong(&mut self, until: Millis, now: Millis) -> bool {
        let is_news = until.since(self.cold_until) >= MIN_NEWS_MS || !self.is_cold(now);
        if self.cold_until <= now {
            self.cold_from = now;
        }
        self.cold_until = self.cold_until.max(until);
        is_news
    }
}

/// Returns the requests per second for which a gateway issues permits of a cold endpoint that
/// accepts `rate`, if it hears `alive` of `known` gateways, itself included; `None` if it must
/// not issue any.
///
/// Gateways that do not hear each other ask different issuers. Each issues only the part of the
/// gateways that it hears, so that their permits do not add up to more than one would issue, and
/// there are few of them, so that their first permits do not either.
pub fn permit_rate(rate: f64, alive: usize, known: usize) -> Option<f64> {
    let heard_share = (alive as f64 / known.max(1) as f64).min(1.0);
    (heard_share >= MIN_HEARD_SHARE).then_some(rate * ISSUED_SHARE * heard_share)
}

/// Raises the load of candidates that are or were cold towards the mean of the others, as far as
/// their `ramps` say, so that they do not get all requests because they are empty.
///
/// One whose load is below `limit` stays below it.
pub fn raise_loads(candidates: &mut [Candidate], ramps: &[f64], limit: Option<f64>) {
    let warm = candidates.iter().zip(ramps).filter(|(_, ramp)| **ramp == 0.0);
    let loads: Vec<f64> = warm.map(|(it, _)| it.load).collect();
    if loads.is_empty() || loads.len() == candidates.len() {
        return;
    }
    let mean = loads.iter().sum::<f64>() / loads.len() as f64;
    let target = limit.map_or(mean, |it| mean.min(it - FREE_LOAD));
    for (candidate, ramp) in candidates.iter_mut().zip(ramps) {
        candidate.load += ramp * (target - candidate.load).max(0.0);
    }
}
