//! The measures of one replay, as JSON and as a table.

use std::{collections::BTreeMap, fmt::Write, time::Duration};

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::{
    sampler::{LoadSample, RouterTotals},
    tally::{KeyStatement, Tally},
};

/// Mean load from which the skew of a moment counts: below it one request more
/// or less passes any bound.
const MIN_MEAN: f64 = 2.0;

/// The measures of one replay; `docs/MEASURES.md` describes each field.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Measures {
    /// Requests that got a final answer.
    pub requests: u64,
    /// Whole answers.
    pub whole: u64,
    /// Wrong answers.
    pub wrong: u64,
    /// Reason of the first wrong answer.
    pub first_wrong: Option<String>,
    /// Requests given up.
    pub given_up: u64,
    /// Attempts beyond the first.
    pub retries: u64,
    /// Attempts that met a refused connection.
    pub not_connected: u64,
    /// Attempts whose connection broke.
    pub broken: u64,
    /// Final answers by code.
    pub by_code: BTreeMap<u16, u64>,
    /// Whole answers by data centre.
    pub by_data_centre: BTreeMap<String, u64>,
    /// Whole answers by engine.
    pub by_engine: BTreeMap<String, u64>,
    /// Refused attempts per hundred requests, by workspace.
    pub refused_percent: BTreeMap<String, f64>,
    /// Cache reuse.
    pub reuse: Reuse,
    /// Skew of load.
    pub skew: Skew,
    /// Times seen by callers.
    pub latency: Latency,
    /// At-most-once execution.
    pub once: Once,
    /// Cost per router.
    pub routers: RouterCost,
}

/// Cache reuse.
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

/// Skew of load across engines.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Skew {
    /// Samples whose mean load was high enough to count.
    pub samples: usize,
    /// Mean load over those samples.
    pub mean_load: f64,
    /// Median of max/mean.
    pub p50: f64,
    /// 99.9th percentile of max/mean.
    pub p999: f64,
    /// Share of samples whose max passed both the bound times the mean and the
    /// mean rounded up.
    pub over_bound: f64,
    /// Max/mean of the load averaged over the whole run.
    pub whole_run: f64,
}

/// Times seen by callers, in milliseconds.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Latency {
    /// Median time to the first piece.
    pub first_p50: f64,
    /// 95th percentile of the time to the first piece.
    pub first_p95: f64,
    /// 99th percentile of the time to the first piece.
    pub first_p99: f64,
    /// Median time between pieces.
    pub gap_p50: f64,
    /// 95th percentile of the time between pieces.
    pub gap_p95: f64,
    /// 99th percentile of the time between pieces.
    pub gap_p99: f64,
}

/// At-most-once execution, judged by the services' own counts.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Once {
    /// Keys used.
    pub keys: usize,
    /// Most runs of one key.
    pub max_runs: u32,
    /// Keys called "not run" that ran.
    pub false_not_run: usize,
    /// Keys called "ran" that did not run.
    pub false_ran: usize,
    /// Keys whose outcome stayed unknown.
    pub unknown: usize,
}

/// Cost per router.
#[derive(Debug, Clone, Default, Serialize)]
pub struct RouterCost {
    /// Routers that were measured.
    pub routers: usize,
    /// Control bytes per second, sent and received, mean over routers.
    pub control_mean: f64,
    /// Control bytes per second of the busiest router.
    pub control_max: f64,
    /// Control bytes per second by kind of message, mean over routers.
    pub by_kind: BTreeMap<String, f64>,
    /// Share of a core, mean over routers, requests included.
    pub core_mean: f64,
    /// Resident memory of the largest router, in mebibytes.
    pub resident_mib: f64,
}

impl Measures {
    /// Computes the measures that follow from the callers' counts.
    pub fn from_tally(tally: &Tally, runs: &BTreeMap<String, u32>) -> Measures {
        let refused: BTreeMap<String, u64> =
            tally.refusals.iter().fold(BTreeMap::new(), |mut sum, ((workspace, code), count)| {
                if *code == OVERLOADED {
                    *sum.entry(workspace.clone()).or_default() += count;
                }
                sum
            });
        let percent = |(workspace, count): (&String, &u64)| {
            let of = tally.by_workspace.get(workspace).copied().unwrap_or(1);
            (workspace.clone(), *count as f64 * 100.0 / of as f64)
        };
        Measures {
            requests: tally.requests,
            whole: tally.whole,
            wrong: tally.wrong,
            first_wrong: tally.first_wrong.clone(),
            given_up: tally.given_up,
            retries: tally.retries,
            not_connected: tally.not_connected,
            broken: tally.broken,
            by_code: tally.by_code.clone(),
            by_data_centre: tally.by_data_centre.clone(),
            by_engine: tally.by_engine.clone(),
            refused_percent: refused.iter().map(percent).collect(),
            reuse: Reuse::from_tally(tally),
            latency: Latency::from_tally(tally),
            once: Once::from_tally(tally, runs),
            ..Measures::default()
        }
    }
}

/// Code of a request that met full engines.
const OVERLOADED: u16 = 3002;

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
            first_p50: ms(&tally.first, 0.5),
            first_p95: ms(&tally.first, 0.95),
            first_p99: ms(&tally.first, 0.99),
            gap_p50: ms(&tally.gaps, 0.5),
            gap_p95: ms(&tally.gaps, 0.95),
            gap_p99: ms(&tally.gaps, 0.99),
        }
    }
}

impl Once {
    fn from_tally(tally: &Tally, runs: &BTreeMap<String, u32>) -> Once {
        let count = |key: &str| runs.get(key).copied().unwrap_or(0);
        let said = |wanted: KeyStatement, is_false: &dyn Fn(u32) -> bool| {
            tally.keys.iter().filter(|(key, it)| **it == wanted && is_false(count(key))).count()
        };
        Once {
            keys: tally.keys.len(),
            max_runs: tally.keys.keys().map(|key| count(key)).max().unwrap_or(0),
            false_not_run: said(KeyStatement::NotRun, &|runs| runs > 0),
            false_ran: said(KeyStatement::Ran, &|runs| runs == 0),
            unknown: said(KeyStatement::Unknown, &|_| true),
        }
    }
}

impl Skew {
    /// Computes the skew from samples of engine loads against `bound`.
    pub fn from_samples(samples: &[LoadSample], bound: f64) -> Skew {
        let mut ratios = Vec::new();
        let mut over = 0;
        let mut load_sum = 0.0;
        let mut totals: BTreeMap<&str, u64> = BTreeMap::new();
        for sample in samples {
            for (engine, load) in &sample.loads {
                *totals.entry(engine).or_default() += u64::from(*load);
            }
            let total: u32 = sample.loads.values().sum();
            let mean = f64::from(total) / sample.loads.len().max(1) as f64;
            if mean < MIN_MEAN {
                continue;
            }
            let max = f64::from(sample.loads.values().copied().max().unwrap_or(0));
            ratios.push(max / mean);
            over += usize::from(max > (mean * bound).max(mean.ceil()));
            load_sum += mean;
        }
        ratios.sort_by(f64::total_cmp);
        let count = ratios.len();
        let at = |quantile: f64| {
            let index = (quantile * count as f64).ceil() as usize;
            ratios.get(index.saturating_sub(1)).copied().unwrap_or(0.0)
        };
        let mean_total = totals.values().sum::<u64>() as f64 / totals.len().max(1) as f64;
        let max_total = totals.values().copied().max().unwrap_or(0) as f64;
        Skew {
            samples: count,
            mean_load: load_sum / count.max(1) as f64,
            p50: at(0.5),
            p999: at(0.999),
            over_bound: over as f64 / count.max(1) as f64,
            whole_run: max_total / mean_total.max(f64::MIN_POSITIVE),
        }
    }
}

impl RouterCost {
    /// Computes the cost from totals at the start and the end of a run.
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
            for (kind, bytes) in &after.control {
                let rate = (bytes - before.control.get(kind).unwrap_or(&0.0)) / seconds;
                *cost.by_kind.entry(kind.clone()).or_default() += rate / count;
                sum += rate;
            }
            cost.control_mean += sum / count;
            cost.control_max = cost.control_max.max(sum);
            cost.core_mean += (after.cpu_s - before.cpu_s) / seconds / count;
            cost.resident_mib = cost.resident_mib.max(after.resident / f64::from(1 << 20));
        }
        cost
    }
}

impl Measures {
    /// Formats the measures as a table for people.
    pub fn to_table(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = self.write_table(&mut text);
        text
    }

    fn write_table(&self, to: &mut String) -> std::fmt::Result {
        writeln!(to, "requests            {}", self.requests)?;
        writeln!(to, "answered whole      {}", self.whole)?;
        writeln!(to, "wrong / given up    {} / {}", self.wrong, self.given_up)?;
        if let Some(reason) = &self.first_wrong {
            writeln!(to, "  first wrong       {reason}")?;
        }
        writeln!(to, "retries             {}", self.retries)?;
        write_counts(to, "by code", &self.by_code)?;
        write_counts(to, "by data centre", &self.by_data_centre)?;
        write_counts(to, "by engine", &self.by_engine)?;
        let reuse = &self.reuse;
        writeln!(
            to,
            "cache reuse         {:.3} of ideal ({} of {} tokens; {} prompt tokens)",
            reuse.share, reuse.cached_tokens, reuse.ideal_tokens, reuse.prompt_tokens
        )?;
        let skew = &self.skew;
        writeln!(
            to,
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
            to,
            "first piece ms      p50 {:.1}, p95 {:.1}, p99 {:.1}",
            latency.first_p50, latency.first_p95, latency.first_p99
        )?;
        writeln!(
            to,
            "between pieces ms   p50 {:.1}, p95 {:.1}, p99 {:.1}",
            latency.gap_p50, latency.gap_p95, latency.gap_p99
        )?;
        let once = &self.once;
        writeln!(
            to,
            "keys                {} used, at most {} runs, {} false not-run, {} false ran, {} unknown",
            once.keys, once.max_runs, once.false_not_run, once.false_ran, once.unknown
        )?;
        let cost = &self.routers;
        writeln!(
            to,
            "control B/s/router  mean {:.0}, max {:.0} over {} routers",
            cost.control_mean, cost.control_max, cost.routers
        )?;
        for (kind, rate) in &cost.by_kind {
            writeln!(to, "  {kind:<18}{rate:.0}")?;
        }
        writeln!(
            to,
            "router core / MiB   {:.3} mean / {:.1} largest",
            cost.core_mean, cost.resident_mib
        )?;
        for (workspace, percent) in &self.refused_percent {
            writeln!(to, "refused {workspace:<18} {percent:.1} per 100 requests")?;
        }
        Ok(())
    }
}

fn write_counts<K: std::fmt::Display>(
    to: &mut String,
    title: &str,
    counts: &BTreeMap<K, u64>,
) -> std::fmt::Result {
    writeln!(to, "{title}")?;
    for (key, count) in counts {
        writeln!(to, "  {key:<18}{count}")?;
    }
    Ok(())
}
