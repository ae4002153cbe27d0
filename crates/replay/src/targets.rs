//! Targets that the measures of a replay must meet.

use std::{fs, path::Path};

use eyre::{Result, WrapErr};
use serde::Deserialize;

use crate::measures::Measures;

/// Load bound of the default configuration, as a multiple of the mean load.
const DEFAULT_LOAD_BOUND: f64 = 1.25;

/// Targets for the measures of a replay; absent targets are not checked.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Targets {
    /// Minimum share of requests with a complete response.
    pub whole_share: Option<f64>,
    /// Maximum number of invalid responses.
    pub wrong: Option<u64>,
    /// Maximum number of requests given up.
    pub given_up: Option<u64>,
    /// Maximum number of attempts that lost their connection.
    pub broken: Option<u64>,
    /// Maximum number of runs of one idempotency key.
    pub key_runs: Option<u32>,
    /// Maximum number of keys whose reported outcome contradicts the run counts.
    pub key_false: Option<usize>,
    /// Maximum number of keys whose outcome stayed unknown.
    pub key_unknown: Option<usize>,
    /// Load bound of the configuration, as a multiple of the mean load; 1.25 if
    /// absent.
    pub load_bound: Option<f64>,
    /// Maximum 99.9th percentile of max/mean load.
    pub skew_p999: Option<f64>,
    /// Maximum share of samples over the load bound.
    pub over_bound: Option<f64>,
    /// Minimum cache reuse, as a share of the ideal.
    pub reuse_share: Option<f64>,
    /// Maximum control bytes per second of any router.
    pub control_bytes: Option<f64>,
    /// Maximum 95th percentile of the time to the first token, in milliseconds.
    pub first_p95_ms: Option<f64>,
    /// Maximum 95th percentile of the time between tokens, in milliseconds.
    pub gap_p95_ms: Option<f64>,
}

impl Targets {
    /// Reads targets from a YAML file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, is malformed or has an unknown
    /// key.
    pub fn from_file(path: &Path) -> Result<Targets> {
        let text = fs::read_to_string(path)?;
        serde_saphyr::from_str(&text).wrap_err_with(|| path.display().to_string())
    }

    /// Returns the load bound, as a multiple of the mean load.
    pub fn load_bound(&self) -> f64 {
        self.load_bound.unwrap_or(DEFAULT_LOAD_BOUND)
    }

    /// Returns a message for each target that `measures` misses.
    pub fn missed(&self, measures: &Measures) -> Vec<String> {
        let completed = measures.completed as f64 / measures.requests.max(1) as f64;
        let keys = &measures.idempotency;
        let false_outcomes = (keys.false_not_run + keys.false_ran) as f64;
        let checks = [
            at_least("whole_share", completed, self.whole_share),
            at_most("wrong", measures.invalid as f64, self.wrong.map(|it| it as f64)),
            at_most("given_up", measures.given_up as f64, self.given_up.map(|it| it as f64)),
            at_most("broken", measures.disconnected as f64, self.broken.map(|it| it as f64)),
            at_most("key_runs", f64::from(keys.max_runs), self.key_runs.map(f64::from)),
            at_most("key_false", false_outcomes, self.key_false.map(|it| it as f64)),
            at_most("key_unknown", keys.unknown as f64, self.key_unknown.map(|it| it as f64)),
            at_most("skew_p999", measures.skew.p999, self.skew_p999),
            at_most("over_bound", measures.skew.over_bound, self.over_bound),
            at_least("reuse_share", measures.reuse.share, self.reuse_share),
            at_most("control_bytes", measures.routers.control_max, self.control_bytes),
            at_most("first_p95_ms", measures.latency.first_p95, self.first_p95_ms),
            at_most("gap_p95_ms", measures.latency.gap_p95, self.gap_p95_ms),
        ];
        checks.into_iter().flatten().collect()
    }
}

fn at_most(name: &str, value: f64, limit: Option<f64>) -> Option<String> {
    let limit = limit?;
    (value > limit).then(|| format!("{name} is {value:.4}, above {limit}"))
}

fn at_least(name: &str, value: f64, limit: Option<f64>) -> Option<String> {
    let limit = limit?;
    (value < limit).then(|| format!("{name} is {value:.4}, below {limit}"))
}
