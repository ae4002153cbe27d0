//! Metrics of how evenly requests are placed, and of how old the news behind it is.

use std::time::Duration;

use eyre::Result;
use mimosaledge_policy::placement::Candidate;
use prometheus::{Histogram, HistogramOpts, IntCounterVec, Opts, Registry};

/// Upper bounds of the buckets of loads, relative to the mean.
const LOAD_BUCKETS: [f64; 9] = [0.25, 0.5, 0.75, 1.0, 1.25, 1.5, 2.0, 3.0, 5.0];
/// Upper bounds of the buckets of ages, in seconds.
const AGE_BUCKETS_S: [f64; 9] = [0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 1.5, 2.0, 4.0];
/// Multiple of the usual time from which an endpoint counts as slow.
const SLOW_MULTIPLE: f64 = 1.25;

/// Metrics of placements.
#[derive(Debug)]
pub(crate) struct LoadMetrics {
    relative_load: Histogram,
    news_age: Histogram,
    placements: IntCounterVec,
}

impl LoadMetrics {
    /// Creates the metrics and registers them.
    ///
    /// # Errors
    ///
    /// Returns an error if another metric has one of their names.
    pub(crate) fn register(registry: &Registry) -> Result<LoadMetrics> {
        let relative_load = Histogram::with_opts(
            HistogramOpts::new(
                "mimosaledge_placement_relative_load",
                "Load of the chosen endpoint, relative to the mean of its service, both plus 1.",
            )
            .buckets(LOAD_BUCKETS.to_vec()),
        )?;
        let news_age = Histogram::with_opts(
            HistogramOpts::new(
                "mimosaledge_placement_news_age_seconds",
                "Age of the other gateways' counts when a request is placed.",
            )
            .buckets(AGE_BUCKETS_S.to_vec()),
        )?;
        let placements = IntCounterVec::new(
            Opts::new(
                "mimosaledge_placements_total",
                "Requests placed, by how long work takes at the endpoint just now.",
            ),
            &["speed"],
        )?;
        registry.register(Box::new(relative_load.clone()))?;
        registry.register(Box::new(news_age.clone()))?;
        registry.register(Box::new(placements.clone()))?;
        Ok(LoadMetrics { relative_load, news_age, placements })
    }

    /// Records that a request is placed at `chosen`, one of `candidates`, with news that is
    /// `age_ms` old.
    pub(crate) fn record(&self, chosen: &Candidate, candidates: &[Candidate], age_ms: u64) {
        let total: f64 = candidates.iter().map(|it| it.load).sum();
        let mean = total / candidates.len().max(1) as f64;
        self.relative_load.observe((chosen.load + 1.0) / (mean + 1.0));
        self.news_age.observe(Duration::from_millis(age_ms).as_secs_f64());
        let is_slow = chosen.slowness.multiple() >= SLOW_MULTIPLE;
        let speed = if is_slow { "slow" } else { "usual" };
        self.placements.with_label_values(&[speed]).inc();
    }
}
