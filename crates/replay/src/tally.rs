//! What a replay counts.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

use crate::{caller::Whole, trace::Event};

/// Longest time that a histogram tells apart, in microseconds.
const MAX_MICROS: u64 = 600_000_000;

/// The final answer to a request.
#[derive(Debug, Clone)]
pub enum Final {
    /// A whole answer.
    Whole(Whole),
    /// A numbered error.
    Refused(u16),
    /// An answer that was not the request's own or not well-formed.
    Wrong(String),
    /// No answer after all attempts.
    GivenUp,
}

/// What the fleet said about a key in the end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyStatement {
    /// It ran.
    Ran,
    /// It did not run and never will.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Counts of one replay.
#[derive(Debug)]
pub struct Tally {
    /// Requests that got a final answer.
    pub requests: u64,
    /// Whole answers.
    pub whole: u64,
    /// Whole answers by result code, and final refusals.
    pub by_code: BTreeMap<u16, u64>,
    /// Whole answers by data centre of the caller.
    pub by_data_centre: BTreeMap<String, u64>,
    /// Whole answers by engine, as place hints name them.
    pub by_engine: BTreeMap<String, u64>,
    /// Answers that were wrong, with the reason of the first.
    pub wrong: u64,
    /// Reason of the first wrong answer.
    pub first_wrong: Option<String>,
    /// Requests given up without an answer.
    pub given_up: u64,
    /// Attempts beyond each request's first.
    pub retries: u64,
    /// Attempts that met a refused connection.
    pub not_connected: u64,
    /// Attempts whose connection broke.
    pub broken: u64,
    /// Refused attempts by workspace and code.
    pub refusals: BTreeMap<(String, u16), u64>,
    /// Requests by workspace.
    pub by_workspace: BTreeMap<String, u64>,
    /// Prompt tokens of whole answers.
    pub prompt_tokens: u64,
    /// Prompt tokens served from an engine's cache.
    pub cached_tokens: u64,
    /// Prompt tokens that an unbounded shared cache would have served.
    pub ideal_tokens: u64,
    /// Time to the first piece, in microseconds.
    pub first: Histogram<u64>,
    /// Time between pieces, in microseconds.
    pub gaps: Histogram<u64>,
    /// Last statement about each key.
    pub keys: BTreeMap<String, KeyStatement>,
}

impl Default for Tally {
    fn default() -> Tally {
        Tally {
            requests: 0,
            whole: 0,
            by_code: BTreeMap::new(),
            by_data_centre: BTreeMap::new(),
            by_engine: BTreeMap::new(),
            wrong: 0,
            first_wrong: None,
            given_up: 0,
            retries: 0,
            not_connected: 0,
            broken: 0,
            refusals: BTreeMap::new(),
            by_workspace: BTreeMap::new(),
            prompt_tokens: 0,
            cached_tokens: 0,
            ideal_tokens: 0,
            first: new_histogram(),
            gaps: new_histogram(),
            keys: BTreeMap::new(),
        }
    }
}

/// Creates a histogram of microseconds with three significant digits.
pub fn new_histogram() -> Histogram<u64> {
    // The bounds are constants that the library accepts.
    Histogram::new_with_bounds(1, MAX_MICROS, 3).expect("valid histogram bounds")
}

impl Tally {
    /// Counts an attempt; the first of a request has number zero.
    pub fn attempt(&mut self, number: u32) {
        self.retries += u64::from(number > 0);
    }

    /// Counts a refused attempt.
    pub fn refusal(&mut self, workspace: &str, code: u16) {
        *self.refusals.entry((workspace.to_owned(), code)).or_default() += 1;
    }

    /// Notes what the fleet said about a key.
    pub fn state(&mut self, key: String, said: KeyStatement) {
        self.keys.insert(key, said);
    }

    /// Counts the final answer to a request.
    pub fn finish(&mut self, event: &Event, last: &Final, prompt: u32, ideal: u32) {
        self.requests += 1;
        *self.by_workspace.entry(event.workspace.clone()).or_default() += 1;
        match last {
            Final::Whole(whole) => self.finish_whole(event, whole, prompt, ideal),
            Final::Refused(code) => *self.by_code.entry(*code).or_default() += 1,
            Final::Wrong(what) => {
                self.wrong += 1;
                self.first_wrong.get_or_insert_with(|| what.clone());
            }
            Final::GivenUp => self.given_up += 1,
        }
    }

    fn finish_whole(&mut self, event: &Event, whole: &Whole, prompt: u32, ideal: u32) {
        self.whole += 1;
        *self.by_code.entry(whole.code).or_default() += 1;
        *self.by_data_centre.entry(event.data_centre.clone()).or_default() += 1;
        if let Some(engine) = whole.hint.as_deref().and_then(|it| it.split('.').next()) {
            *self.by_engine.entry(engine.to_owned()).or_default() += 1;
            self.prompt_tokens += u64::from(prompt);
            self.cached_tokens += u64::from(whole.cached);
            self.ideal_tokens += u64::from(ideal);
            self.first.saturating_record(whole.first.as_micros() as u64);
            for gap in &whole.gaps {
                self.gaps.saturating_record(gap.as_micros() as u64);
            }
        }
    }
}
