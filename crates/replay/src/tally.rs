//! Counters of a replay.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

use crate::{client::CompleteResponse, trace::Event};

/// Largest value that a histogram can record, in microseconds; longer times are
/// recorded as this value.
const HISTOGRAM_MAX_US: u64 = 600_000_000;

/// Final result of a request, after all retries.
#[derive(Debug, Clone)]
pub enum FinalResult {
    /// A complete, valid response.
    Complete(CompleteResponse),
    /// An error response with this result code.
    Error(u16),
    /// A response that was malformed, failed its checksum or belonged to another
    /// request.
    Invalid(String),
    /// No attempt got a response.
    GivenUp,
}

/// Outcome that the fleet reported last for an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyOutcome {
    /// The request ran.
    Ran,
    /// The request did not run and never will under this key.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Counters of one replay.
#[derive(Debug)]
pub struct Tally {
    /// Finished requests.
    pub requests: u64,
    /// Requests with a complete, valid response.
    pub completed: u64,
    /// Complete responses and final errors by result code.
    pub by_code: BTreeMap<u16, u64>,
    /// Complete responses by data centre of the client.
    pub by_data_centre: BTreeMap<String, u64>,
    /// Complete responses by engine ID, taken from the placement hint.
    pub by_engine: BTreeMap<String, u64>,
    /// Requests that ended with an invalid response.
    pub invalid: u64,
    /// Why the first invalid response was rejected.
    pub first_invalid: Option<String>,
    /// Requests given up because no attempt got a response.
    pub given_up: u64,
    /// Attempts beyond each request's first.
    pub retries: u64,
    /// Attempts that could not establish a connection.
    pub not_connected: u64,
    /// Attempts that lost their connection or timed out.
    pub disconnected: u64,
    /// Attempts with an error response, by workspace and code.
    pub errors: BTreeMap<(String, u16), u64>,
    /// Finished requests by workspace.
    pub by_workspace: BTreeMap<String, u64>,
    /// Prompt tokens of requests with a complete response.
    pub prompt_tokens: u64,
    /// Prompt tokens served from an engine's cache.
    pub cached_tokens: u64,
    /// Prompt tokens that an unbounded shared cache would have served.
    pub ideal_tokens: u64,
    /// Time to the first token, in microseconds.
    pub first_token: Histogram<u64>,
    /// Time between tokens, in microseconds.
    pub token_gaps: Histogram<u64>,
    /// Last reported outcome of each idempotency key.
    pub key_outcomes: BTreeMap<String, KeyOutcome>,
}

impl Default for Tally {
    fn default() -> Tally {
        Tally {
            requests: 0,
            completed: 0,
            by_code: BTreeMap::new(),
            by_data_centre: BTreeMap::new(),
            by_engine: BTreeMap::new(),
            invalid: 0,
            first_invalid: None,
            given_up: 0,
            retries: 0,
            not_connected: 0,
            disconnected: 0,
            errors: BTreeMap::new(),
            by_workspace: BTreeMap::new(),
            prompt_tokens: 0,
            cached_tokens: 0,
            ideal_tokens: 0,
            first_token: new_histogram(),
            token_gaps: new_histogram(),
            key_outcomes: BTreeMap::new(),
        }
    }
}

/// Creates a histogram of times in microseconds with three significant digits.
pub fn new_histogram() -> Histogram<u64> {
    // The bounds are valid constants, so this cannot fail.
    Histogram::new_with_bounds(1, HISTOGRAM_MAX_US, 3).expect("valid histogram bounds")
}

impl Tally {
    /// Counts attempt number `attempt` of a request, from zero.
    pub fn record_attempt(&mut self, attempt: u32) {
        self.retries += u64::from(attempt > 0);
    }

    /// Counts an attempt with an error response.
    pub fn record_error(&mut self, workspace: &str, code: u16) {
        *self.errors.entry((workspace.to_owned(), code)).or_default() += 1;
    }

    /// Records the outcome that the fleet reported for an idempotency key.
    pub fn record_key_outcome(&mut self, key: String, outcome: KeyOutcome) {
        self.key_outcomes.insert(key, outcome);
    }

    /// Counts the final result of a request with `prompt_tokens`, of which an
    /// unbounded shared cache would have served `ideal_tokens`.
    pub fn record_result(
        &mut self,
        event: &Event,
        result: &FinalResult,
        prompt_tokens: u32,
        ideal_tokens: u32,
    ) {
        self.requests += 1;
        *self.by_workspace.entry(event.workspace.clone()).or_default() += 1;
        match result {
            FinalResult::Complete(response) => {
                self.record_completion(event, response, prompt_tokens, ideal_tokens)
            }
            FinalResult::Error(code) => *self.by_code.entry(*code).or_default() += 1,
            FinalResult::Invalid(reason) => {
                self.invalid += 1;
                self.first_invalid.get_or_insert_with(|| reason.clone());
            }
            FinalResult::GivenUp => self.given_up += 1,
        }
    }

    fn record_completion(
        &mut self,
        event: &Event,
        response: &CompleteResponse,
        prompt_tokens: u32,
        ideal_tokens: u32,
    ) {
        self.completed += 1;
        *self.by_code.entry(response.code).or_default() += 1;
        *self.by_data_centre.entry(event.data_centre.clone()).or_default() += 1;
        // Only responses from engines carry a placement hint.
        if let Some(engine) = response.hint.as_deref().and_then(|it| it.split('.').next()) {
            *self.by_engine.entry(engine.to_owned()).or_default() += 1;
            self.prompt_tokens += u64::from(prompt_tokens);
            self.cached_tokens += u64::from(response.cached_tokens);
            self.ideal_tokens += u64::from(ideal_tokens);
            self.first_token.saturating_record(response.first_token.as_micros() as u64);
            for gap in &response.token_gaps {
                self.token_gaps.saturating_record(gap.as_micros() as u64);
            }
        }
    }
}
