//! Requests that crash endpoints, stopped after a small number of crashes.
//!
//! When an endpoint dies, every request open on it is a suspect. A request that
//! was open at [`CRASH_LIMIT`] distinct deaths is refused fleet-wide. An engine
//! runs one suspect at a time, so that an innocent one is not open at the death
//! that a guilty one causes next, and all copies of a suspect go to one engine.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::{endpoints::EndpointId, time::Millis};

/// Deaths after which a request is refused.
pub const CRASH_LIMIT: usize = 2;
/// How long a death counts, in milliseconds.
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
struct Suspect {
    deaths: Vec<Death>,
    last: Millis,
}

/// The suspects that one router knows.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<u64, Suspect>,
}

impl Quarantine {
    /// Notes that the request with `fingerprint` was open at `death`; returns
    /// whether that was not known yet and is worth telling others.
    pub fn blame(&mut self, fingerprint: u64, death: Death, now: Millis) -> bool {
        self.make_room(now);
        let suspect = self
            .suspects
            .entry(fingerprint)
            .or_insert_with(|| Suspect { deaths: Vec::new(), last: now });
        suspect.last = now;
        if suspect.deaths.contains(&death) || suspect.deaths.len() >= CRASH_LIMIT {
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
        if age >= CRASH_MEMORY_MS {
            Standing::Clean
        } else if suspect.deaths.len() >= CRASH_LIMIT {
            Standing::Refused(CRASH_MEMORY_MS - age)
        } else {
            Standing::Suspect
        }
    }

    /// Clears a request that ran to its end.
    pub fn acquit(&mut self, fingerprint: u64) {
        self.suspects.remove(&fingerprint);
    }

    fn make_room(&mut self, now: Millis) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        self.suspects.retain(|_, it| now.since(it.last) < CRASH_MEMORY_MS);
        let oldest = self.suspects.iter().min_by_key(|(_, it)| it.last).map(|(&key, _)| key);
        if let Some(key) = oldest.filter(|_| self.suspects.len() >= MAX_SUSPECTS) {
            self.suspects.remove(&key);
        }
    }
}
