//! Shares of workspaces in a service that lacks room.
//!
//! The load: one workspace sends several times its usual, while the others send as ever; the
//! gateways know the requests of each other's greatest workspaces only.

use std::collections::HashMap;

use mimosaledge_core::Millis;
use mimosaledge_policy::{
    fair_share::{FairShare, PRIORITIES, Usage, share_by_priority},
    usage_table::UsageTable,
};

fn usage(arrived: f64, admitted: f64) -> Usage {
    Usage { arrived, admitted }
}

/// Returns the shares of workspaces 1, 2, ... that sent these requests, all known.
fn shares_of(workspaces: &[(f64, f64)]) -> FairShare {
    let usages: Vec<Usage> = workspaces.iter().map(|it| usage(it.0, it.1)).collect();
    let mut total = Usage::default();
    usages.iter().for_each(|it| total += *it);
    FairShare::new(total, (1..).zip(usages).collect(), 0)
}

/// Names a case: what workspaces want, the share of room, and the admission of each.
macro_rules! admission_cases {
    ($($name:ident: $wanted:expr, $room:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let wanted: Vec<(f64, f64)> = $wanted.into_iter().map(|it| (it, it)).collect();
            let shares = shares_of(&wanted);
            for (workspace, expected) in (1..).zip($expected) {
                let admission: f64 = shares.admission(workspace, $room);
                assert!((admission - expected).abs() < 1e-9, "{workspace}: {admission}");
            }
        }
    )*};
}

admission_cases! {
    greedy_workspace_bears_the_lack_of_room: [10.0, 10.0, 80.0], 0.5 => [1.0, 1.0, 30.0 / 80.0];
    idle_share_is_lent: [5.0, 45.0, 50.0], 0.65 => [1.0, 30.0 / 45.0, 30.0 / 50.0];
    lent_share_is_taken_back_when_wanted: [40.0, 30.0, 30.0], 0.6 => [0.5, 20.0 / 30.0, 20.0 / 30.0];
    single_workspace_gets_all_the_room: [100.0], 0.4 => [0.4];
    room_for_all_admits_all: [10.0, 10.0, 80.0], 1.0 => [1.0, 1.0, 1.0];
    equal_workspaces_share_equally: [25.0, 25.0, 25.0, 25.0], 0.2 => [0.2, 0.2, 0.2, 0.2];
    no_workspace_starves_beside_a_thousand_times_its_size: [1.0, 1_000.0], 0.01 => [1.0, 0.00901];
}

#[test]
fn room_is_used_up_whatever_the_workspaces_want() {
    let wanted = [3.0, 90.0, 17.0, 44.0, 44.0, 2.0];
    let shares = shares_of(&wanted.map(|it| (it, it)));
    for room in [0.1, 0.3, 0.5, 0.9] {
        let admitted = (1..).zip(wanted).map(|(at, it)| it * shares.admission(at, room));
        let admitted: f64 = admitted.sum();
        assert!((admitted - 200.0 * room).abs() < 1e-6, "{room}: {admitted}");
    }
}

#[test]
fn workspace_beyond_its_share_exceeds_it_while_others_are_refused() {
    let shares = shares_of(&[(10.0, 9.0), (10.0, 9.0), (80.0, 50.0)]);
    assert!(shares.is_contended());
    assert_eq!(shares.excess(1), 0.0);
    assert!((shares.excess(3) - (1.0 - 48.0 / 80.0)).abs() < 1e-9);
}

#[test]
fn greedy_workspace_below_its_share_is_not_held_back() {
    let shares = shares_of(&[(60.0, 55.0), (40.0, 5.0)]);
    assert_eq!(shares.excess(2), 0.0);
}

#[test]
fn nothing_is_an_excess_while_nothing_is_refused() {
    let shares = shares_of(&[(10.0, 10.0), (990.0, 990.0)]);
    assert_eq!(shares.excess(2), 0.0);
    assert!(!shares.is_contended());
}

#[test]
fn few_requests_say_nothing() {
    let shares = shares_of(&[(1.0, 0.0), (9.0, 4.0)]);
    assert_eq!(shares.excess(2), 0.0);
    assert_eq!(shares.admission(2, 0.7), 0.7);
}

// One gateway's few requests are not taken for those of all: a workspace of which only this one
// has requests is small.
#[test]
fn requests_of_one_gateway_of_300_are_not_taken_for_a_greedy_workspace() {
    let (mut total, mut known) = (usage(4.0, 4.0), HashMap::from([(7, usage(4.0, 4.0))]));
    for gateway in 0..299 {
        total += usage(4.0, 3.0);
        *known.entry(100 + gateway % 24).or_default() += usage(2.0, 1.5);
    }
    let shares = FairShare::new(total, known, 0);
    assert!(shares.is_contended());
    assert_eq!(shares.excess(7), 0.0);
    assert_eq!(shares.admission(7, 0.75), 1.0);
}

#[test]
fn greedy_workspace_is_found_among_300_gateways_that_tell_of_three_each() {
    let (mut total, mut known) = (Usage::default(), HashMap::new());
    for gateway in 0..300 {
        total += usage(10.0, 8.0);
        *known.entry(1).or_default() += usage(5.0, 4.0);
        *known.entry(100 + gateway % 24).or_default() += usage(1.0, 0.8);
        *known.entry(100 + (gateway + 7) % 24).or_default() += usage(1.0, 0.8);
    }
    let shares = FairShare::new(total, known, 0);
    assert!(shares.admission(1, 0.8) < 0.65);
    assert!((100..124).all(|it| shares.admission(it, 0.8) == 1.0));
}

// Late news: what others tell lags, so that the greatest workspace of a moment ago has become
// idle. What it leaves is lent at once, since shares bind only what is sent.
#[test]
fn share_of_a_workspace_that_has_become_idle_is_used_by_the_others() {
    let shares = shares_of(&[(90.0, 60.0), (10.0, 10.0)]);
    assert_eq!(shares.admission(2, 1.2), 1.0);
    assert_eq!(shares.admission(2, 0.7), 1.0);
}

/// Names a case: the room, the requests by priority, and the share of each that fits.
macro_rules! priority_cases {
    ($($name:ident: $room:expr, $arrived:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let shares = share_by_priority($room, $arrived);
            let expected: [f64; PRIORITIES] = $expected;
            let is_near = |(a, b): (f64, f64)| (a - b).abs() < 1e-9;
            assert!(shares.into_iter().zip(expected).all(is_near), "{shares:?}");
        }
    )*};
}

priority_cases! {
    burst_of_a_less_urgent_kind_leaves_the_urgent_one_its_room:
        100.0, [60.0, 0.0, 400.0, 0.0] => [1.0, 1.0, 0.1, 1.0];
    burst_of_the_most_urgent_kind_starves_none:
        100.0, [400.0, 50.0, 50.0, 0.0] => [0.2, 0.2, 0.2, 1.0];
    room_for_all_priorities_admits_all:
        100.0, [10.0, 20.0, 30.0, 40.0] => [1.0, 1.0, 1.0, 1.0];
}

#[test]
fn table_forgets_what_was_sent_long_ago_and_ranks_the_rest() {
    let mut table = UsageTable::default();
    (0..20).for_each(|_| table.record(1, 0, true, Millis(1_000)));
    (0..5).for_each(|_| table.record(2, 3, false, Millis(9_000)));
    table.record(3, 3, true, Millis(9_000));
    let top: Vec<u32> = table.top(2, Millis(9_000)).into_iter().map(|it| it.0).collect();
    assert_eq!(top, [2, 3]);
    let total = table.total(Millis(9_000));
    assert!((total.arrived - 6.0).abs() < 0.01 && (total.admitted - 1.0).abs() < 0.01);
    table.remove_idle(Millis(9_000));
    assert_eq!(table.workspaces(Millis(9_000)).count(), 2);
}
