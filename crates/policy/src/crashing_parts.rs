//! Detection of prompt parts that crash engines.
//!
//! A part may crash every engine that begins to respond to a prompt that contains it,
//! whatever else the prompt holds. When an engine crashes, the parts of all requests to
//! which it had just begun to respond become suspects; gateways tell each other. A part
//! that completes is sound: its crashes so far no longer count. Of the parts that reach the
//! limit, the one with the strongest evidence is the culprit, and its crashes no longer
//! count for any other part. Only culprits are refused.
//!
//! An engine may crash before the head of its response is complete, so that requests which
//! wait for one are suspects as well. Many wait at an engine at any time, and nearly all may
//! share a part, so that this says less: more crashes are needed, a part that has completed
//! shortly before is no suspect, and without requests that complete meanwhile without the
//! part, it may as well be the engines that fail.

use std::collections::{HashMap, HashSet};

use mimosaledge_core::Millis;

use crate::{
    crash::Crash,
    crash_evidence::{Evidence, MAX_DOUBLINGS},
    crash_stage::WEIGHT_LIMIT,
    sound_parts::SoundParts,
    suspect::Suspect,
};
pub use crate::{
    crash_evidence::MIN_GAP_MS,
    crash_stage::{CRASH_LIMIT, CrashStage, WAITING_CRASH_LIMIT},
    crash_suspect::CrashSuspect,
};

/// Number of requests without a part that must have completed since its first crash, for the
/// part to be a culprit by crashes at which it was waiting.
const MIN_OTHERS: u64 = 4;
/// Time after its last completion for which a part that was waiting is no suspect, in
/// milliseconds.
const RECENT_MS: u64 = 30_000;
/// Time for which the response may have lasted at the time of the crash, in milliseconds; a
/// response that lasts longer shows that its parts are sound.
pub const MAX_RESPONDING_MS: u64 = 500;
/// Time for which a culprit is refused after its last crash, in milliseconds; each crash
/// beyond the limit doubles it.
const QUARANTINE_MS: u64 = 120_000;
/// The same time for a culprit by crashes at which it was waiting, in milliseconds.
const WAITING_QUARANTINE_MS: u64 = 30_000;
/// The same time for a part that has completed before, in milliseconds: crashes of another
/// cause may have met a part that nearly all requests share.
const SOUND_QUARANTINE_MS: u64 = 5_000;
/// Time without a crash after which a part is no longer a suspect, in milliseconds.
const RETENTION_MS: u64 = 2 * 3_600_000;
/// Maximum number of suspects; the one with the oldest last crash is evicted first.
const MAX_SUSPECTS: usize = 4_096;
/// A culprit that a prompt contains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Culprit {
    /// Identifier of the part.
    pub part: u64,
    /// Time until the part is no longer refused, in milliseconds.
    pub retry_ms: u64,
}

/// The parts that were in prompts during crashes.
#[derive(Debug, Default)]
pub struct CrashingParts {
    suspects: HashMap<u64, Suspect>,
    /// The culprits, with the time until which each is refused.
    culprits: HashMap<u64, Millis>,
    /// Parts that other gateways have said they refuse, with the time until which each is.
    learned: HashMap<u64, Millis>,
    sound: SoundParts,
    /// Number of requests that have completed here.
    completions: u64,
    /// Whether a part is no culprit only for want of completions without it.
    lacks_others: bool,
}

impl CrashingParts {
    /// Records that a part was in a prompt during a crash at the time `at`; returns whether
    /// that was not known.
    pub fn record_crash(&mut self, suspect: CrashSuspect, stage: CrashStage, at: Millis) -> bool {
        let CrashSuspect { part, depth, crash } = suspect;
        if stage == CrashStage::Waiting && self.sound.contains_since(part, at, RECENT_MS) {
            return false;
        }
        self.evict_if_full(at);
        let crash = Crash { id: crash, at, stage, completions: self.completions, counts: true };
        let entry = self.suspects.entry(part).or_insert_with(|| Suspect::new(depth));
        let is_news = entry.record(crash);
        if is_news && entry.count() >= CRASH_LIMIT {
            self.find_culprits();
        }
        is_news
    }

    /// Records that a request whose prompt contains `parts` has completed, so that they are
    /// sound; returns those that were suspects.
    pub fn record_completion(&mut self, parts: &[u64], now: Millis) -> Vec<u64> {
        let mut cleared = Vec::new();
        self.completions += u64::from(!parts.is_empty());
        for part in parts {
            self.sound.insert(*part, now);
            self.learned.remove(part);
            let Some(suspect) = self.suspects.get_mut(part) else { continue };
            if suspect.clear() {
                cleared.push(*part);
            }
        }
        if !cleared.is_empty() || self.lacks_others {
            self.find_culprits();
        }
        cleared
    }

    /// Returns the first of `parts` that is refused.
    pub fn find_refused(&self, parts: &[u64], now: Millis) -> Option<Culprit> {
        parts.iter().find_map(|part| {
            let until = self.culprits.get(part).max(self.learned.get(part))?;
            (now < *until).then(|| Culprit { part: *part, retry_ms: until.since(now) })
        })
    }

    /// Returns the parts that are refused.
    pub fn refusals(&self, now: Millis) -> Vec<Culprit> {
        let parts: HashSet<u64> =
            self.culprits.keys().chain(self.learned.keys()).copied().collect();
        parts.iter().filter_map(|it| self.find_refused(&[*it], now)).collect()
    }

    /// Refuses a part for `retry_ms` because another gateway does, unless it has completed here
    /// lately.
    pub fn learn_refusal(&mut self, culprit: Culprit, now: Millis) {
        if self.sound.contains_since(culprit.part, now, RECENT_MS) {
            return;
        }
        self.learned.retain(|_, until| now < *until);
        if self.learned.len() >= MAX_SUSPECTS {
            return;
        }
        let until = now + culprit.retry_ms.min(QUARANTINE_MS << MAX_DOUBLINGS);
        let learned = self.learned.entry(culprit.part).or_default();
        *learned = until.max(*learned);
    }

    /// Selects the culprits among the suspects anew.
    ///
    /// A part that has never completed precedes one that has, then the one with more
    /// crashes, then the one further back in its prompt, which fewer prompts share.
    fn find_culprits(&mut self) {
        self.culprits.clear();
        self.lacks_others = false;
        let mut explained = HashSet::new();
        while let Some((part, evidence)) = self.find_strongest(&explained) {
            let suspect = &self.suspects[&part];
            let quarantine_ms = match (self.sound.contains(part), evidence.is_direct()) {
                (true, _) => SOUND_QUARANTINE_MS,
                (false, true) => QUARANTINE_MS << evidence.doublings(),
                (false, false) => WAITING_QUARANTINE_MS << evidence.doublings(),
            };
            explained.extend(suspect.crash_ids());
            self.culprits.insert(part, suspect.last_crash() + quarantine_ms);
        }
    }

    /// Returns the strongest suspect that reaches the limit and is no culprit yet.
    fn find_strongest(&mut self, explained: &HashSet<u64>) -> Option<(u64, Evidence)> {
        let mut strongest = None;
        for (part, suspect) in &self.suspects {
            if suspect.count() < CRASH_LIMIT || self.culprits.contains_key(part) {
                continue;
            }
            let evidence = suspect.weigh(explained);
            if evidence.weight < WEIGHT_LIMIT {
                continue;
            }
            // A completion with the part would have cleared it: these are without.
            let others = self.completions - evidence.completions;
            if !evidence.is_direct() && others < MIN_OTHERS {
                self.lacks_others = true;
                continue;
            }
            let rank = (!self.sound.contains(*part), evidence.weight, suspect.depth, *part);
            if strongest.is_none_or(|(best, _)| rank > best) {
                strongest = Some((rank, evidence));
            }
        }
        strongest.map(|((.., part), evidence)| (part, evidence))
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
