//! Detection of prompt parts that crash engines.
//!
//! A part may crash every engine that begins to respond to a prompt that contains it,
//! whatever else the prompt holds. When an engine crashes, the parts of all requests to
//! which it had just begun to respond become suspects; gateways tell each other. A part
//! that completes is sound: its crashes so far no longer count. Of the parts that reach the
//! limit, the one with the strongest evidence is the culprit, and its crashes no longer
//! count for any other part. Only culprits are refused.

use std::collections::{HashMap, HashSet};

use mimosaledge_core::Millis;
use serde::{Deserialize, Serialize};

use crate::sound_parts::SoundParts;

/// Number of crashes that make a part a culprit.
pub const CRASH_LIMIT: usize = 3;
/// Time for which the response may have lasted at the time of the crash, in milliseconds.
pub const MAX_RESPONDING_MS: u64 = 500;
/// Crashes that follow each other by less count once, in milliseconds, since engines that
/// crash together have a common cause.
const MIN_GAP_MS: u64 = 100;
/// Time for which a culprit is refused after its last crash, in milliseconds; each crash
/// beyond the limit doubles it.
const QUARANTINE_MS: u64 = 120_000;
/// Maximum number of times that it is doubled.
const MAX_DOUBLINGS: usize = 5;
/// The same time for a part that has completed before, in milliseconds: crashes of another
/// cause may have met a part that nearly all requests share.
const SOUND_QUARANTINE_MS: u64 = 5_000;
/// Time without a crash after which a part is no longer a suspect, in milliseconds.
const RETENTION_MS: u64 = 2 * 3_600_000;
/// Maximum number of suspects; the one with the oldest last crash is evicted first.
const MAX_SUSPECTS: usize = 4_096;
/// Maximum number of crashes that are kept for one suspect, the latest.
const MAX_CRASHES: usize = 64;

/// A part of a request to which an engine had begun to respond when it crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashSuspect {
    /// Identifier of the part.
    pub part: u64,
    /// Number of parts before it in the prompt.
    pub depth: u8,
    /// Node number of the endpoint's incarnation, which identifies the crash.
    pub crash: u64,
}

/// A culprit that a prompt contains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Culprit {
    /// Identifier of the part.
    pub part: u64,
    /// Time until the part is no longer refused, in milliseconds.
    pub retry_ms: u64,
}

#[derive(Debug)]
struct Crash {
    id: u64,
    at: Millis,
    /// Whether the part has not completed since.
    counts: bool,
}

#[derive(Debug)]
struct Suspect {
    depth: u8,
    /// Its crashes, oldest first.
    crashes: Vec<Crash>,
}

impl Suspect {
    fn last_crash(&self) -> Millis {
        self.crashes.last().map_or(Millis::default(), |it| it.at)
    }

    /// Returns the number of crashes that count and are not among `explained`.
    fn count(&self, explained: &HashSet<u64>) -> usize {
        let mut count = 0;
        let mut last_counted: Option<Millis> = None;
        for crash in self.crashes.iter().filter(|it| it.counts && !explained.contains(&it.id)) {
            if last_counted.is_none_or(|at| crash.at.since(at) >= MIN_GAP_MS) {
                count += 1;
                last_counted = Some(crash.at);
            }
        }
        count
    }
}

/// The parts that were in prompts during crashes.
#[derive(Debug, Default)]
pub struct CrashingParts {
    suspects: HashMap<u64, Suspect>,
    /// The culprits, with the time until which each is refused.
    culprits: HashMap<u64, Millis>,
    sound: SoundParts,
}

impl CrashingParts {
    /// Records that a part was in a prompt during a crash at the time `at`; returns whether
    /// that was not known.
    pub fn record_crash(&mut self, suspect: CrashSuspect, at: Millis) -> bool {
        self.evict_if_full(at);
        let CrashSuspect { part, depth, crash } = suspect;
        let entry = self.suspects.entry(part).or_insert(Suspect { depth, crashes: Vec::new() });
        if entry.crashes.iter().any(|it| it.id == crash) {
            return false;
        }
        if entry.crashes.len() >= MAX_CRASHES {
            entry.crashes.remove(0);
        }
        let index = entry.crashes.partition_point(|it| it.at <= at);
        entry.crashes.insert(index, Crash { id: crash, at, counts: true });
        if entry.crashes.len() >= CRASH_LIMIT {
            self.find_culprits();
        }
        true
    }

    /// Records that a request whose prompt contains `parts` has completed, so that they are
    /// sound; returns those that were suspects.
    pub fn record_completion(&mut self, parts: &[u64], now: Millis) -> Vec<u64> {
        let mut cleared = Vec::new();
        for part in parts {
            self.sound.insert(*part, now);
            let Some(suspect) = self.suspects.get_mut(part) else { continue };
            if suspect.crashes.iter().any(|it| it.counts) {
                suspect.crashes.iter_mut().for_each(|it| it.counts = false);
                cleared.push(*part);
            }
        }
        if !cleared.is_empty() {
            self.find_culprits();
        }
        cleared
    }

    /// Returns the first of `parts` that is refused.
    pub fn find_refused(&self, parts: &[u64], now: Millis) -> Option<Culprit> {
        parts.iter().find_map(|part| {
            let until = self.culprits.get(part)?;
            (now < *until).then(|| Culprit { part: *part, retry_ms: until.since(now) })
        })
    }

    /// Selects the culprits among the suspects anew.
    ///
    /// A part that has never completed precedes one that has, then the one with more
    /// crashes, then the one further back in its prompt, which fewer prompts share.
    fn find_culprits(&mut self) {
        self.culprits.clear();
        let mut explained = HashSet::new();
        loop {
            let candidates = self
                .suspects
                .iter()
                .filter(|(_, it)| it.crashes.len() >= CRASH_LIMIT)
                .filter(|(part, _)| !self.culprits.contains_key(part));
            let strongest = candidates
                .map(|(part, suspect)| (suspect.count(&explained), *part, suspect))
                .filter(|(count, _, _)| *count >= CRASH_LIMIT)
                .max_by_key(|(count, part, suspect)| {
                    (!self.sound.contains(*part), *count, suspect.depth, *part)
                });
            let Some((count, part, suspect)) = strongest else { return };
            let quarantine_ms = match self.sound.contains(part) {
                true => SOUND_QUARANTINE_MS,
                false => QUARANTINE_MS << (count - CRASH_LIMIT).min(MAX_DOUBLINGS),
            };
            explained.extend(suspect.crashes.iter().map(|it| it.id));
            self.culprits.insert(part, suspect.last_crash() + quarantine_ms);
        }
    }

    fn evict_if_full(&mut self, now: Millis) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        self.suspects.retain(|_, it| now.since(it.last_crash()) < RETENTION_MS);
        let oldest = self.suspects.iter().min_by_key(|(_, it)| it.last_crash()).map(|it| *it.0);
        if let Some(part) = oldest.filter(|_| self.suspects.len() >= MAX_SUSPECTS) {
            self.suspects.remove(&part);
        }
    }
}
