//! Computes the measures of a replay and formats them as JSON or as a table.

use std::{collections::BTreeMap, fmt::Write, time::Duration};

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::{
    sampler::{LoadSample, RouterTotals},
    tally::{KeyOutcome, Tally},
};

/// Minimum mean load of a sample that counts towards the skew; at lower loads, a
/// single additional request exceeds any bound.
const MIN_MEAN_LOAD: f64 = 2.0;

/// The measures of one replay; `docs/MEASURES.md` describes each field.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Measures {
    /// Finished requests.
    pub requests: u64,
    /// Requests with a complete, valid response.
    #[serde(rename = "whole")]
    pub completed: u64,
    /// Requests that ended with an invalid response.
    #[serde(rename = "wrong")]
    pub invalid: u64,
    /// Why the first invalid response was rejected.
    #[serde(rename = "first_wrong")]
    pub first_invalid: Option<String>,
    /// Requests given up because no attempt got a response.
    pub given_up: u64,
    /// Attempts beyond the first.
    pub retries: u64,
    /// Attempts that could not establish a connection.
    pub not_connected: u64,
    /// Attempts that lost their connection or timed out.
    #[serde(rename = "broken")]
    pub disconnected: u64,
    /// Complete responses and final errors by result code.
    pub by_code: BTreeMap<u16, u64>,
    /// Complete responses by data centre of the client.
    pub by_data_centre: BTreeMap<String, u64>,
    /// Complete responses by engine.
    pub by_engine: BTreeMap<String, u64>,
    /// Attempts rejected with code 3002 (overloaded) per hundred requests, by
    /// workspace.
    pub refused_percent: BTreeMap<String, f64>,
    /// Reuse of the engines' prefix caches.
    pub reuse: Reuse,
    /// Load skew across engines.
    pub skew: Skew,
    /// Latency seen by clients.
    pub latency: Latency,
    /// Check of at-most-once execution.
    #[serde(rename = "once")]
    pub idempotency: Idempotency,
    /// Resource usage per router.
    pub routers: RouterCost,
}

/// Reuse of the engines' prefix caches.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Reuse {
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Prompt tokens served from caches.
    pub cached_tokens: u64,
    /// Prompt tokens that an unbounded shared cache would have served.
    pub ideal_tokens: u64,
    /// Cached tokens as a share of the ideal.
    pub share: f64,
}

/// Load skew across engines.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Skew {
    /// Samples whose mean load was at least `MIN_MEAN_LOAD`.
    pub samples: usize,
    /// Mean load over those samples.
    pub mean_load: f64,
    /// Median of the ratio of maximum to mean load.
    pub p50: f64,
    /// 99.9th percentile of that ratio.
    pub p999: f64,
    /// Share of samples whose maximum load exceeded both the mean times the load bound
    /// and the mean rounded up.
    pub over_bound: f64,
    /// Ratio of maximum to mean of the engines' loads, each averaged over the whole
    /// run.
    pub whole_run: f64,
}

/// Latency seen by clients, in milliseconds.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Latency {
    /// Median time to the first token.
    pub first_p50: f64,
    /// 95th percentile of the time to the first token.
    pub first_p95: f64,
    /// 99th percentile of the time to the first token.
    pub first_p99: f64,
    /// Median time between tokens.
    pub gap_p50: f64,
    /// 95th percentile of the time between tokens.
    pub gap_p95: f64,
    /// 99th percentile of the time between tokens.
    pub gap_p99: f64,
}

/// Check of at-most-once execution: outcomes reported to clients against the run
/// counts of the services.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Idempotency {
    /// Idempotency keys with a reported outcome.
    pub keys: usize,
    /// Maximum number of runs of one key.
    pub max_runs: u32,
    /// Keys reported as not run that ran.
    pub false_not_run: usize,
    /// Keys reported as run that did not run.
    pub false_ran: usize,
    /// Keys whose outcome stayed unknown.
    pub unknown: usize,
}

/// Resource usage per router.
#[derive(Debug, Clone, Default, Serialize)]
pub struct RouterCost {
    /// Number of routers measured.
    pub routers: usize,
    /// Control bytes per second, sent and received, mean over routers.
    pub control_mean: f64,
    /// Control bytes per second of the busiest router.
    pub control_max: f64,
    /// Control bytes per second by kind of message, mean over routers.
    pub by_kind: BTreeMap<String, f64>,
    /// CPU cores used, including those for request handling, mean over routers.
    pub core_mean: f64,
    /// Maximum resident memory of any router, in MiB.
    pub resident_mib: f64,
}

impl Measures {
    /// Computes the measures that depend only on the counters of the clients and on
    /// the services' run counts by key.
    pub fn from_tally(tally: &Tally, runs: &BTreeMap<String, u32>) -> Measures {
        let overloaded: BTreeMap<String, u64> =
            tally.errors.iter().fold(BTreeMap::new(), |mut sum, ((workspace, code), count)| {
                if *code == OVERLOADED_CODE {
                    *sum.entry(workspace.clone()).or_default() += count;
                }
                sum
            });
        let percent = |(workspace, count): (&String, &u64)| {
            let requests = tally.by_workspace.get(workspace).copied().unwrap_or(1);
            (workspace.clone(), *count as f64 * 100.0 / requests as f64)
        };
        Measures {
            requests: tally.requests,
            completed: tally.completed,
            invalid: tally.invalid,
            first_invalid: tally.first_invalid.clone(),
            given_up: tally.given_up,
            retries: tally.retries,
            not_connected: tally.not_connected,
            disconnected: tally.disconnected,
            by_code: tally.by_code.clone(),
            by_data_centre: tally.by_data_centre.clone(),
            by_engine: tally.by_engine.clone(),
            refused_percent: overloaded.iter().map(percent).collect(),
            reuse: Reuse::from_tally(tally),
            latency: Latency::from_tally(tally),
            idempotency: Idempotency::from_tally(tally, runs),
            ..Measures::default()
        }
    }
}

/// Result code of a request that was rejected because every engine is at its load
/// bound.
const OVERLOADED_CODE: u16 = 3002;

impl Reuse {
    fn from_tally(tally: &Tally) -> Reuse {
        Reuse {
            prompt_tokens: tally.prompt_tokens,
            cached_tokens: tally.cached_tokens,
            ideal_tokens: tally.ideal_tokens,
            share: tally.cached_tokens as f64 / tally.ideal_tokens.max(1) as f64,
        }
    }
}

impl Latency {
    fn from_tally(tally: &Tally) -> Latency {
        let ms = |histogram: &Histogram<u64>, quantile| {
            histogram.value_at_quantile(quantile) as f64 / 1e3
        };
        Latency {
            first_p50: ms(&tally.first_token, 0.5),
            first_p95: ms(&tally.first_token, 0.95),
            first_p99: ms(&tally.first_token, 0.99),
            gap_p50: ms(&tally.token_gaps, 0.5),
            gap_p95: ms(&tally.token_gaps, 0.95),
            gap_p99: ms(&tally.token_gaps, 0.99),
        }
    }
}

impl Idempotency {
    fn from_tally(tally: &Tally, runs: &BTreeMap<String, u32>) -> Idempotency {
        let run_count = |key: &str| runs.get(key).copied().unwrap_or(0);
        let count_keys = |outcome: KeyOutcome, matches_runs: &dyn Fn(u32) -> bool| {
            tally
                .key_outcomes
                .iter()
                .filter(|(key, it)| **it == outcome && matches_runs(run_count(key)))
                .count()
        };
        Idempotency {
            keys: tally.key_outcomes.len(),
            max_runs: tally.key_outcomes.keys().map(|key| run_count(key)).max().unwrap_or(0),
            false_not_run: count_keys(KeyOutcome::NotRun, &|runs| runs > 0),
            false_ran: count_keys(KeyOutcome::Ran, &|runs| runs == 0),
            unknown: count_keys(KeyOutcome::Unknown, &|_| true),
        }
    }
}

impl Skew {
    /// Computes the skew from samples of engine loads; `load_bound` is a multiple of
    /// the mean load.
    pub fn from_samples(samples: &[LoadSample], load_bound: f64) -> Skew {
        let mut ratios = Vec::new();
        let mut over_bound = 0;
        let mut load_sum = 0.0;
        let mut totals: BTreeMap<&str, u64> = BTreeMap::new();
        for sample in samples {
            for (engine, load) in &sample.loads {
                *totals.entry(engine).or_default() += u64::from(*load);
            }
            let total: u32 = sample.loads.values().sum();
            let mean = f64::from(total) / sample.loads.len().max(1) as f64;
            if mean < MIN_MEAN_LOAD {
                continue;
            }
            let max = f64::from(sample.loads.values().copied().max().unwrap_or(0));
            ratios.push(max / mean);
            over_bound += usize::from(max > (mean * load_bound).max(mean.ceil()));
            load_sum += mean;
        }
        ratios.sort_by(f64::total_cmp);
        let count = ratios.len();
        let ratio_at = |quantile: f64| {
            let index = (quantile * count as f64).ceil() as usize;
            ratios.get(index.saturating_sub(1)).copied().unwrap_or(0.0)
        };
        let mean_total = totals.values().sum::<u64>() as f64 / totals.len().max(1) as f64;
        let max_total = totals.values().copied().max().unwrap_or(0) as f64;
        Skew {
            samples: count,
            mean_load: load_sum / count.max(1) as f64,
            p50: ratio_at(0.5),
            p999: ratio_at(0.999),
            over_bound: over_bound as f64 / count.max(1) as f64,
            whole_run: max_total / mean_total.max(f64::MIN_POSITIVE),
        }
    }
}

impl RouterCost {
    /// Computes the resource usage from the totals at the start and at the end of a
    /// run; routers that lack either are left out.
    pub fn from_totals(
        before: &[Option<RouterTotals>],
        after: &[Option<RouterTotals>],
        elapsed: Duration,
    ) -> RouterCost {
        let seconds = elapsed.as_secs_f64();
        let pairs: Vec<(&RouterTotals, &RouterTotals)> = before
            .iter()
            .zip(after)
            .filter_map(|(before, after)| Some((before.as_ref()?, after.as_ref()?)))
            .collect();
        let count = pairs.len().max(1) as f64;
        let mut cost = RouterCost { routers: pairs.len(), ..RouterCost::default() };
        for (before, after) in pairs {
            let mut sum = 0.0;
            for (kind, bytes) in &after.control_bytes {
                let rate = (bytes - before.control_bytes.get(kind).unwrap_or(&0.0)) / seconds;
                *cost.by_kind.entry(kind.clone()).or_default() += rate / count;
                sum += rate;
            }
            cost.control_mean += sum / count;
            cost.control_max = cost.control_max.max(sum);
            cost.core_mean += (after.cpu_s - before.cpu_s) / seconds / count;
            cost.resident_mib = cost.resident_mib.max(after.resident_bytes / f64::from(1 << 20));
        }
        cost
    }
}

impl Measures {
    /// Formats the measures as a human-readable table.
    pub fn to_table(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = self.write_table(&mut text);
        text
    }

    fn write_table(&self, out: &mut String) -> std::fmt::Result {
        writeln!(out, "requests            {}", self.requests)?;
        writeln!(out, "completed           {}", self.completed)?;
        writeln!(out, "invalid / given up  {} / {}", self.invalid, self.given_up)?;
        if let Some(reason) = &self.first_invalid {
            writeln!(out, "  first invalid     {reason}")?;
        }
        writeln!(out, "retries             {}", self.retries)?;
        write_counts(out, "by code", &self.by_code)?;
        write_counts(out, "by data centre", &self.by_data_centre)?;
        write_counts(out, "by engine", &self.by_engine)?;
        let reuse = &self.reuse;
        writeln!(
            out,
            "cache reuse         {:.3} of ideal ({} of {} tokens; {} prompt tokens)",
            reuse.share, reuse.cached_tokens, reuse.ideal_tokens, reuse.prompt_tokens
        )?;
        let skew = &self.skew;
        writeln!(
            out,
            "load max/mean       p50 {:.2}, p99.9 {:.2}, whole run {:.2} (mean {:.1}, {} samples, {:.1}% over bound)",
            skew.p50,
            skew.p999,
            skew.whole_run,
            skew.mean_load,
            skew.samples,
            skew.over_bound * 100.0
        )?;
        let latency = &self.latency;
        writeln!(
            out,
            "first token ms      p50 {:.1}, p95 {:.1}, p99 {:.1}",
            latency.first_p50, latency.first_p95, latency.first_p99
        )?;
        writeln!(
            out,
            "between tokens ms   p50 {:.1}, p95 {:.1}, p99 {:.1}",
            latency.gap_p50, latency.gap_p95, latency.gap_p99
        )?;
        let keys = &self.idempotency;
        writeln!(
            out,
            "keys                {} used, at most {} runs, {} false not-run, {} false ran, {} unknown",
            keys.keys, keys.max_runs, keys.false_not_run, keys.false_ran, keys.unknown
        )?;
        let cost = &self.routers;
        writeln!(
            out,
            "control B/s/router  mean {:.0}, max {:.0} over {} routers",
            cost.control_mean, cost.control_max, cost.routers
        )?;
        for (kind, rate) in &cost.by_kind {
            writeln!(out, "  {kind:<18}{rate:.0}")?;
        }
        writeln!(
            out,
            "router CPU / memory {:.3} cores mean / {:.1} MiB max",
            cost.core_mean, cost.resident_mib
        )?;
        for (workspace, percent) in &self.refused_percent {
            writeln!(out, "refused {workspace:<18} {percent:.1} per 100 requests")?;
        }
        Ok(())
    }
}

fn write_counts<K: std::fmt::Display>(
    out: &mut String,
    title: &str,
    counts: &BTreeMap<K, u64>,
) -> std::fmt::Result {
    writeln!(out, "{title}")?;
    for (key, count) in counts {
        writeln!(out, "  {key:<18}{count}")?;
    }
    Ok(())
}
