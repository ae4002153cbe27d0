//! Outcomes stated for a trace, checked after a replay.

use std::{fs, path::Path};

use eyre::{Result, WrapErr};
use serde::Deserialize;

use crate::measures::Measures;

/// Load bound of the default configuration.
const DEFAULT_BOUND: f64 = 1.25;

/// The outcomes that a replay must reach; absent ones are not checked.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Outcomes {
    /// Least share of requests answered whole.
    pub whole_share: Option<f64>,
    /// Most wrong answers.
    pub wrong: Option<u64>,
    /// Most requests given up.
    pub given_up: Option<u64>,
    /// Most broken attempts.
    pub broken: Option<u64>,
    /// Most runs of one key.
    pub key_runs: Option<u32>,
    /// Most false statements about keys.
    pub key_false: Option<usize>,
    /// Most keys whose outcome is unknown.
    pub key_unknown: Option<usize>,
    /// The load bound that the configuration sets; 1.25 if absent.
    pub load_bound: Option<f64>,
    /// Highest 99.9th percentile of max/mean load.
    pub skew_p999: Option<f64>,
    /// Highest share of samples over the load bound.
    pub over_bound: Option<f64>,
    /// Least cache reuse as a share of the ideal.
    pub reuse_share: Option<f64>,
    /// Most control bytes per second of any router.
    pub control_bytes: Option<f64>,
    /// Highest 95th percentile of the time to the first piece, in milliseconds.
    pub first_p95_ms: Option<f64>,
    /// Highest 95th percentile of the time between pieces, in milliseconds.
    pub gap_p95_ms: Option<f64>,
}

impl Outcomes {
    /// Reads outcomes from a YAML file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or names an unknown outcome.
    pub fn from_file(path: &Path) -> Result<Outcomes> {
        let text = fs::read_to_string(path)?;
        serde_saphyr::from_str(&text).wrap_err_with(|| path.display().to_string())
    }

    /// Returns the load bound that engines are judged by.
    pub fn load_bound(&self) -> f64 {
        self.load_bound.unwrap_or(DEFAULT_BOUND)
    }

    /// Returns the outcomes that `measures` misses, one line each.
    pub fn missed(&self, measures: &Measures) -> Vec<String> {
        let whole = measures.whole as f64 / measures.requests.max(1) as f64;
        let once = &measures.once;
        let false_keys = (once.false_not_run + once.false_ran) as f64;
        let checks = [
            at_least("whole_share", whole, self.whole_share),
            at_most("wrong", measures.wrong as f64, self.wrong.map(|it| it as f64)),
            at_most("given_up", measures.given_up as f64, self.given_up.map(|it| it as f64)),
            at_most("broken", measures.broken as f64, self.broken.map(|it| it as f64)),
            at_most("key_runs", f64::from(once.max_runs), self.key_runs.map(f64::from)),
            at_most("key_false", false_keys, self.key_false.map(|it| it as f64)),
            at_most("key_unknown", once.unknown as f64, self.key_unknown.map(|it| it as f64)),
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
