//! What the next heartbeats tell of crashes of endpoints.

use mimosaledge_core::Millis;
use mimosaledge_peer::{CrashReport, SuspectReport};
use mimosaledge_policy::crashing_parts::{CrashStage, CrashSuspect};

/// Time for which a crash is told, in milliseconds.
const NEWS_MS: u64 = 3_000;
/// Maximum number of crash reports, suspects and sound parts each in one heartbeat.
const MAX_REPORTS: usize = 24;

/// Crashes that other gateways are told of, and what has turned out since.
#[derive(Debug, Default)]
pub(crate) struct CrashNews {
    /// Requests that were in flight, with the time at which each was added.
    crashes: Vec<(CrashReport, Millis)>,
    /// Suspects, with the time of the crash.
    suspects: Vec<(CrashSuspect, CrashStage, Millis)>,
    /// Parts that are suspects no longer, with the time at which each was cleared.
    sound_parts: Vec<(u64, Millis)>,
}

impl CrashNews {
    /// Adds a request that was in flight at an endpoint when it crashed.
    pub(crate) fn add_crash(&mut self, crash: CrashReport, now: Millis) {
        self.crashes.push((crash, now));
    }

    /// Adds a suspect of a crash at the time `at`.
    pub(crate) fn add_suspect(&mut self, suspect: CrashSuspect, stage: CrashStage, at: Millis) {
        self.suspects.push((suspect, stage, at));
    }

    /// Adds parts that are suspects no longer.
    pub(crate) fn add_sound_parts(&mut self, parts: Vec<u64>, now: Millis) {
        self.sound_parts.extend(parts.into_iter().map(|it| (it, now)));
    }

    /// Removes what has been told for long enough.
    pub(crate) fn remove_old(&mut self, now: Millis) {
        let is_news = |at: Millis| now.since(at) < NEWS_MS;
        self.crashes.retain(|it| is_news(it.1));
        self.suspects.retain(|it| is_news(it.2));
        self.sound_parts.retain(|it| is_news(it.1));
    }

    /// Returns the crash reports to send, the latest first.
    pub(crate) fn crashes(&self) -> Vec<CrashReport> {
        self.crashes.iter().rev().take(MAX_REPORTS).map(|it| it.0).collect()
    }

    /// Returns the suspects of crashes at a stage to send, the latest first.
    pub(crate) fn suspects(&self, stage: CrashStage, now: Millis) -> Vec<SuspectReport> {
        let latest = self.suspects.iter().rev().filter(|it| it.1 == stage).take(MAX_REPORTS);
        latest
            .map(|(suspect, _, at)| SuspectReport { suspect: *suspect, age_ms: now.since(*at) })
            .collect()
    }

    /// Returns the parts to send that are suspects no longer, the latest first.
    pub(crate) fn sound_parts(&self) -> Vec<u64> {
        self.sound_parts.iter().rev().take(MAX_REPORTS).map(|it| it.0).collect()
    }
}
