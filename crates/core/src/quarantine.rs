//! Quarantine of requests that crash endpoints.
//!
//! When an endpoint crashes, every request in flight on it becomes a suspect. A
//! request that was in flight during [`CRASH_LIMIT`] distinct crashes is refused
//! by the whole fleet. The router lets an engine run one suspect at a time, so
//! that a harmless one is not in flight during the crash that another one
//! causes next. It sends all copies of a suspect to the same engine, so that
//! they crash only that one.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::{endpoints::EndpointId, time::Millis};

/// Number of distinct crashes after which a request is refused.
pub const CRASH_LIMIT: usize = 2;
/// Default time for which a request stays a suspect after its last crash, in
/// milliseconds.
pub const CRASH_RETENTION_MS: u64 = 10 * 60_000;
/// Maximum number of suspects; the one with the oldest last crash is evicted
/// first.
const MAX_SUSPECTS: usize = 16_384;

/// Identifies the crash of an endpoint process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Crash {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The incarnation that crashed.
    pub incarnation: u32,
}

/// The quarantine status of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// No crash is on record for the request.
    Clean,
    /// The request was in flight during a crash and must not run concurrently
    /// with another suspect.
    Suspect,
    /// The request is refused; the value is the time until its quarantine ends,
    /// in milliseconds.
    Refused(u64),
}

#[derive(Debug)]
struct Suspect<C> {
    crashes: Vec<C>,
    last_crash: Millis,
    /// Until when another process has said that it refuses the request.
    refused_until: Millis,
}

impl<C> Suspect<C> {
    fn new(now: Millis) -> Suspect<C> {
        Suspect { crashes: Vec::new(), last_crash: now, refused_until: Millis::default() }
    }
}

/// The suspects known to one process; `C` identifies a crash.
#[derive(Debug)]
pub struct Quarantine<C = Crash> {
    suspects: HashMap<u64, Suspect<C>>,
    retention_ms: u64,
}

impl Default for Quarantine {
    fn default() -> Quarantine {
        Quarantine::with_retention(CRASH_RETENTION_MS)
    }
}

impl<C: PartialEq> Quarantine<C> {
    /// Creates an empty quarantine that forgets a request `retention_ms` after
    /// its last crash.
    pub fn with_retention(retention_ms: u64) -> Quarantine<C> {
        Quarantine { suspects: HashMap::new(), retention_ms }
    }

    /// Records that the request with `fingerprint` was in flight during `crash`.
    ///
    /// Returns whether the crash was added and peers should be told; it is not
    /// added if it is on record already or the request has reached the limit.
    pub fn record_crash(&mut self, fingerprint: u64, crash: C, now: Millis) -> bool {
        self.evict_if_full(now);
        let suspect = self.suspects.entry(fingerprint).or_insert_with(|| Suspect::new(now));
        if suspect.crashes.contains(&crash) {
            return false;
        }
        suspect.last_crash = now;
        if suspect.crashes.len() >= CRASH_LIMIT {
            return false;
        }
        suspect.crashes.push(crash);
        true
    }

    /// Returns the status of the request with `fingerprint`.
    pub fn status(&self, fingerprint: u64, now: Millis) -> QuarantineStatus {
        let Some(suspect) = self.suspects.get(&fingerprint) else {
            return QuarantineStatus::Clean;
        };
        let age = now.since(suspect.last_crash);
        if now < suspect.refused_until {
            QuarantineStatus::Refused(suspect.refused_until.since(now))
        } else if age >= self.retention_ms {
            QuarantineStatus::Clean
        } else if suspect.crashes.len() >= CRASH_LIMIT {
            QuarantineStatus::Refused(self.retention_ms - age)
        } else {
            QuarantineStatus::Suspect
        }
    }

    /// Returns whether the request with `fingerprint` is refused.
    pub fn is_refused(&self, fingerprint: u64, now: Millis) -> bool {
        matches!(self.status(fingerprint, now), QuarantineStatus::Refused(_))
    }

    /// Returns the requests that are refused, each with the time until its quarantine ends, in
    /// milliseconds.
    pub fn refusals(&self, now: Millis) -> Vec<(u64, u64)> {
        let refused = |&key: &u64| match self.status(key, now) {
            QuarantineStatus::Refused(retry_ms) => Some((key, retry_ms)),
            QuarantineStatus::Clean | QuarantineStatus::Suspect => None,
        };
        self.suspects.keys().filter_map(refused).collect()
    }

    /// Refuses a request for `retry_ms` because another process does.
    pub fn learn_refusal(&mut self, fingerprint: u64, retry_ms: u64, now: Millis) {
        self.evict_if_full(now);
        let until = now + retry_ms.min(self.retention_ms);
        let suspect = self.suspects.entry(fingerprint).or_insert_with(|| Suspect::new(now));
        suspect.refused_until = suspect.refused_until.max(until);
    }

    /// Removes a request from the suspects after it has completed.
    pub fn clear_suspect(&mut self, fingerprint: u64) {
        self.suspects.remove(&fingerprint);
    }

    fn evict_if_full(&mut self, now: Millis) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let retention_ms = self.retention_ms;
        self.suspects.retain(|_, it| now.since(it.last_crash) < retention_ms);
        let oldest = self.suspects.iter().min_by_key(|(_, it)| it.last_crash).map(|(&key, _)| key);
        if let Some(key) = oldest.filter(|_| self.suspects.len() >= MAX_SUSPECTS) {
            self.suspects.remove(&key);
        }
    }
}
