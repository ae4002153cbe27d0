//! Loads estimated from counts and reports of different ages.

use mimosaledge_policy::{
    load::{Counts, MAX_REPORT_AGE_MS, MeanDuration, Report, estimate, with_report},
    unreported::Unreported,
};

/// Names a case: the load known from counts, the reported load with its age, and the
/// load that is assumed.
macro_rules! report_cases {
    ($($name:ident: $known:expr, $load:expr, $age_ms:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let report = Report { load: $load, age_ms: $age_ms };
            assert_eq!(with_report($known, Some(report), MAX_REPORT_AGE_MS), $expected);
        }
    )*};
}

report_cases! {
    queue_that_counts_miss_is_known_from_the_report: 3.0, 40.0, 900 => 40.0;
    requests_sent_since_the_report_count: 8.0, 5.0, 100 => 8.0;
    old_report_of_a_queue_is_not_used: 3.0, 40.0, 1_000 => 3.0;
}

#[test]
fn requests_much_shorter_than_their_report_is_old_count_alike_everywhere() {
    let mut duration = MeanDuration::default();
    duration.record(30);
    let counts = [Counts { own: 1.0, peers: 28.0 }, Counts { own: 0.0, peers: 2.0 }];
    let loads = estimate(&counts, duration.remaining_share(600));
    assert!((loads[0] - 16.0).abs() < 0.01 && (loads[1] - 15.0).abs() < 0.01, "{loads:?}");
}

#[test]
fn requests_that_last_count_where_they_were_reported() {
    let mut duration = MeanDuration::default();
    duration.record(20_000);
    let counts = [Counts { own: 1.0, peers: 28.0 }, Counts { own: 0.0, peers: 2.0 }];
    let loads = estimate(&counts, duration.remaining_share(600));
    assert!(loads[0] > 28.0 && loads[1] < 3.0, "{loads:?}");
}

#[test]
fn counts_are_believed_while_no_duration_is_known() {
    assert_eq!(MeanDuration::default().remaining_share(5_000), 1.0);
}

// Guards against streams that only the last engine of their build can continue, rejected since the
// requests of the whole service do not fit there.
#[test]
fn request_for_one_of_many_engines_shares_its_room_only_with_those_sent_there() {
    let unreported = Unreported::estimate(0.02, 78, 1_000, 1.0);
    assert_eq!(unreported.arrived, 1_560.0);
    let room = unreported.room(30.0, 60.0);
    assert!(unreported.admitted_share(room) < 0.02);
    assert_eq!(unreported.at_some_of(1, 60).admitted_share(room), 1.0);
    assert_eq!(unreported.at_some_of(60, 60), unreported);
}

// Guards against a large fleet that rejects a third of its requests in calm: all that had arrived
// since the reports counted, also those that had long ended.
#[test]
fn arrivals_that_have_ended_since_the_report_take_no_room() {
    let mut duration = MeanDuration::default();
    duration.record(400);
    let unreported = Unreported::estimate(0.0062, 294, 2_000, duration.remaining_share(2_000));
    assert!((unreported.arrived - 0.0062 * 294.0 * 400.0).abs() < 10.0, "{unreported:?}");
    // 204 engines, each with 4 of 12 requests.
    let room = 204.0 * unreported.room(4.0, 12.0);
    assert_eq!(unreported.admitted_share(room), 1.0);
}
