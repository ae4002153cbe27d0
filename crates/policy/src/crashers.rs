//! Requests that crash the endpoints that run them.
//!
//! An endpoint that dies makes every request that it ran a suspect. A request
//! that was open at [`CRASH_LIMIT`] deaths, of distinct endpoints or
//! incarnations, is refused until [`FORGET_MS`] have passed without another.

use std::collections::HashMap;

use mimosaledge_core::Millis;

/// Deaths after which a request is refused.
pub const CRASH_LIMIT: usize = 2;
/// How long a death counts, in milliseconds.
pub const FORGET_MS: u64 = 120_000;
/// Most requests remembered.
const MAX_SUSPECTS: usize = 4_096;

#[derive(Debug)]
struct Suspect {
    deaths: Vec<u64>,
    last: Millis,
}

/// The suspects that one gateway knows.
#[derive(Debug, Default)]
pub struct Crashers {
    suspects: HashMap<u64, Suspect>,
}

impl Crashers {
    /// Notes that the request with `fingerprint` was open at `death`; returns
    /// whether that is news.
    pub fn blame(&mut self, fingerprint: u64, death: u64, now: Millis) -> bool {
        if self.suspects.len() >= MAX_SUSPECTS {
            self.suspects.retain(|_, it| now.since(it.last) < FORGET_MS);
        }
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&fingerprint) {
            return false;
        }
        let suspect =
            self.suspects.entry(fingerprint).or_insert(Suspect { deaths: Vec::new(), last: now });
        if suspect.deaths.contains(&death) {
            return false;
        }
        suspect.last = now;
        suspect.deaths.push(death);
        true
    }

    /// Returns whether the request must not run again.
    pub fn is_blocked(&self, fingerprint: u64, now: Millis) -> bool {
        self.suspects
            .get(&fingerprint)
            .is_some_and(|it| it.deaths.len() >= CRASH_LIMIT && now.since(it.last) < FORGET_MS)
    }

    /// Forgets a request that ran to its end.
    pub fn acquit(&mut self, fingerprint: u64) {
        self.suspects.remove(&fingerprint);
    }
}
