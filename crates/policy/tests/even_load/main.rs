//! Many gateways that choose among endpoints at the same moment, from news that is a little
//! old: no endpoint may be overrun while others idle.
//!
//! Each pattern is run by the policies, by the better of two choices with loads as they were
//! known, which is the code before, and by a chooser that knows all loads and speeds.

mod scenario;
mod uneven;

use scenario::{Chooser, News, SPEED_RATIO, Scenario, Spread};
use uneven::Fleet;

/// Runs of each pattern with other random numbers.
const SEEDS: u64 = 3;
/// Requests that the busiest endpoint may get where all are alike, relative to the mean.
const MAX_ARRIVALS: f64 = 1.15;

fn run(scenario: Scenario, chooser: Chooser) -> Spread {
    let spreads = (1..=SEEDS).map(|seed| Fleet::new(Scenario { seed, ..scenario }, chooser).run());
    Spread::mean(&spreads.collect::<Vec<Spread>>())
}

/// Names a pattern in which the policies must beat the code before, in the wait for a slot and
/// in the load of the busiest endpoint, and come near to one who knows all.
macro_rules! patterns {
    ($($name:ident: $scenario:expr;)*) => {$(
        #[test]
        fn $name() {
            let before = run($scenario, Chooser::Before);
            let even = run($scenario, Chooser::Even);
            let best = run($scenario, Chooser::AllKnowing);
            assert!(even.p99_wait_ms < before.p99_wait_ms, "{even:?}, before {before:?}");
            assert!(even.busiest < before.busiest, "{even:?}, before {before:?}");
            // A request that meets the slowest endpoint takes as much longer by itself.
            assert!(even.p99_ms < SPEED_RATIO * best.p99_ms, "{even:?}, best {best:?}");
            if !$scenario.is_uneven {
                assert!(even.arrivals < MAX_ARRIVALS, "{even:?}");
            }
        }
    )*};
}

/// A hundred gateways that all learn of the endpoints' reports.
fn reports() -> Scenario {
    Scenario {
        gateways: 100,
        endpoints: 30,
        slots: 6,
        work_ms: 60.0,
        utilization: 0.5,
        news: News::Reports,
        errors: 0.0,
        is_uneven: true,
        seed: 0,
    }
}

/// A service of three endpoints that report nothing, some requests of which fail anywhere.
fn three_without_reports() -> Scenario {
    Scenario {
        gateways: 77,
        endpoints: 3,
        work_ms: 15.0,
        news: News::Heartbeats(1_100),
        errors: 0.06,
        ..reports()
    }
}

/// Three hundred gateways of which some learn of each report.
fn samples() -> Scenario {
    Scenario {
        gateways: 300,
        endpoints: 60,
        slots: 16,
        work_ms: 1_000.0,
        news: News::Samples,
        ..reports()
    }
}

patterns! {
    reports_are_old_at_low_load: Scenario { utilization: 0.3, ..reports() };
    reports_are_old_at_half_load: reports();
    reports_are_old_at_high_load: Scenario { utilization: 0.65, ..reports() };
    large_fleet_knows_samples_at_high_load: Scenario { utilization: 0.65, ..samples() };
    three_without_reports_at_low_load: Scenario { utilization: 0.3, ..three_without_reports() };
    three_without_reports_at_half_load: three_without_reports();
    failures_anywhere_do_not_draw_requests_to_one_of_three:
        Scenario { is_uneven: false, utilization: 0.65, ..three_without_reports() };
    failures_anywhere_do_not_draw_requests_to_one_of_six:
        Scenario { is_uneven: false, utilization: 0.8, endpoints: 6, work_ms: 60.0, ..three_without_reports() };
}
