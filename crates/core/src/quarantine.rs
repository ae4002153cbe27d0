//! Requests that crash endpoints, stopped after a small number of crashes.
//!
//! When an endpoint dies, every request open on it is a suspect. A request that
//! was open at [`CRASH_LIMIT`] distinct deaths is refused fleet-wide. The
//! product's own router lets an engine run one suspect at a time, so that an
//! innocent one is not open at the death that a guilty one causes next, and
//! sends all copies of a suspect to one engine.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::{endpoints::EndpointId, time::Millis};

/// Deaths after which a request is refused.
pub const CRASH_LIMIT: usize = 2;
/// How long a death counts unless another time is set, in milliseconds.
pub const CRASH_MEMORY_MS: u64 = 10 * 60_000;
/// Most suspects remembered; the oldest are forgotten first.
const MAX_SUSPECTS: usize = 16_384;

/// A death of one endpoint process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Death {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The incarnation that died.
    pub incarnation: u32,
}

/// What a router may do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// The request was never open at a death.
    Clean,
    /// The request was open at a death and must run apart from other suspects.
    Suspect,
    /// The request is refused; the value is the wait before it is judged anew,
    /// in milliseconds.
    Refused(u64),
}

#[derive(Debug)]
struct Suspect<D> {
    deaths: Vec<D>,
    last: Millis,
}

/// The suspects that one router knows; `D` identifies a death.
#[derive(Debug)]
pub struct Quarantine<D = Death> {
    suspects: HashMap<u64, Suspect<D>>,
    memory_ms: u64,
}

impl Default for Quarantine {
    fn default() -> Quarantine {
        Quarantine::from_memory(CRASH_MEMORY_MS)
    }
}

impl<D: PartialEq> Quarantine<D> {
    /// Makes an empty quarantine in which a death counts for `memory_ms`.
    pub fn from_memory(memory_ms: u64) -> Quarantine<D> {
        Quarantine { suspects: HashMap::new(), memory_ms }
    }

    /// Notes that the request with `fingerprint` was open at `death`; returns
    /// whether that was not known yet and is worth telling others.
    pub fn blame(&mut self, fingerprint: u64, death: D, now: Millis) -> bool {
        self.make_room(now);
        let suspect = self
            .suspects
            .entry(fingerprint)
            .or_insert_with(|| Suspect { deaths: Vec::new(), last: now });
        if suspect.deaths.contains(&death) {
            return false;
        }
        suspect.last = now;
        if suspect.deaths.len() >= CRASH_LIMIT {
            return false;
        }
        suspect.deaths.push(death);
        true
    }

    /// Judges the request with `fingerprint`.
    pub fn judge(&self, fingerprint: u64, now: Millis) -> Standing {
        let Some(suspect) = self.suspects.get(&fingerprint) else {
            return Standing::Clean;
        };
        let age = now.since(suspect.last);
        if age >= self.memory_ms {
            Standing::Clean
        } else if suspect.deaths.len() >= CRASH_LIMIT {
            Standing::Refused(self.memory_ms - age)
        } else {
            Standing::Suspect
        }
    }

    /// Returns whether the request with `fingerprint` is refused.
    pub fn is_refused(&self, fingerprint: u64, now: Millis) -> bool {
        matches!(self.judge(fingerprint, now), Standing::Refused(_))
    }

    /// Clears a request that ran to its end.
    pub fn acquit(&mut self, fingerprint: u64) {
        self.suspects.remove(&fingerprint);
    }

    fn make_room(&mut self, now: Millis) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let memory_ms = self.memory_ms;
        self.suspects.retain(|_, it| now.since(it.last) < memory_ms);
        let oldest = self.suspects.iter().min_by_key(|(_, it)| it.last).map(|(&key, _)| key);
        if let Some(key) = oldest.filter(|_| self.suspects.len() >= MAX_SUSPECTS) {
            self.suspects.remove(&key);
        }
    }
}
