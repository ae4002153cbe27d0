//! Patterns of load, and what is measured.

/// Time that work takes at the endpoints, in turn, relative to the mean endpoint.
pub(crate) const SPEEDS: [f64; 3] = [0.7, 1.0, 1.3];
/// Share of time that other work slows a machine, and by how much.
pub(crate) const NOISE: (f64, f64) = (0.15, 2.5);
/// Time that work takes at the slowest endpoint, relative to the fastest.
pub(crate) const SPEED_RATIO: f64 = SPEEDS[2] / SPEEDS[0] * NOISE.1;

/// What gateways learn of endpoints.
#[derive(Clone, Copy)]
pub(crate) enum News {
    /// All learn of each report after 100 to 400 ms.
    Reports,
    /// Some learn of each report after 100 to 400 ms.
    Samples,
    /// Endpoints report nothing; all learn of the others' requests and response times with
    /// heartbeats at this interval, in milliseconds.
    Heartbeats(u64),
}

/// Who chooses the endpoint.
#[derive(Clone, Copy)]
pub(crate) enum Chooser {
    /// The better of two, by the greater of reported and counted load.
    Before,
    /// The policies.
    Even,
    /// The endpoint at which a request ends first, with all loads and speeds known.
    AllKnowing,
}

/// A fleet, its endpoints and their load.
#[derive(Clone, Copy)]
pub(crate) struct Scenario {
    pub(crate) gateways: usize,
    pub(crate) endpoints: usize,
    pub(crate) slots: usize,
    /// Share of what the endpoints can run that is asked of them.
    pub(crate) utilization: f64,
    /// Mean time that a request runs, in milliseconds.
    pub(crate) work_ms: f64,
    pub(crate) news: News,
    /// Share of requests that fail, at any endpoint alike.
    pub(crate) errors: f64,
    /// Whether the endpoints differ in speed and share their machines.
    pub(crate) is_uneven: bool,
    pub(crate) seed: u64,
}

impl Scenario {
    /// Returns the requests of all gateways.
    pub(crate) fn requests_per_s(&self) -> f64 {
        let mean_noise = if self.is_uneven { 1.0 + NOISE.0 * (NOISE.1 - 1.0) } else { 1.0 };
        let slots = self.endpoints as f64 * self.slots as f64;
        self.utilization * slots * 1_000.0 / (self.work_ms * mean_noise)
    }
}

/// How evenly requests were spread.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Spread {
    /// Requests sent to the endpoint that got most, relative to the mean.
    pub(crate) arrivals: f64,
    /// Mean ratio of the load of the busiest endpoint to the mean load.
    pub(crate) busiest: f64,
    /// Time that one in a hundred requests waits for a slot at least, in milliseconds.
    pub(crate) p99_wait_ms: f64,
    /// Time within which 99 of 100 responses come, in milliseconds.
    pub(crate) p99_ms: f64,
}

impl Spread {
    /// Returns the mean of several runs.
    pub(crate) fn mean(runs: &[Spread]) -> Spread {
        let mean = |of: fn(&Spread) -> f64| runs.iter().map(of).sum::<f64>() / runs.len() as f64;
        Spread {
            arrivals: mean(|it| it.arrivals),
            busiest: mean(|it| it.busiest),
            p99_wait_ms: mean(|it| it.p99_wait_ms),
            p99_ms: mean(|it| it.p99_ms),
        }
    }
}
