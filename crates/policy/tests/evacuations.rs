//! Evacuations of data centres: records, lists of the store and of other gateways, late news,
//! and a store that was restored from an older copy.

use mimosaledge_core::Millis;
use mimosaledge_policy::{
    PolicySettings, Position,
    endpoints::RECOVERY_GRACE_MS,
    evacuations::{DataCentre, Evacuation, EvacuationList, Evacuations},
    placement::{self, Candidate, Prefix},
    slowness::Slowness,
};

const NOW: Millis = Millis(1_000_000);

macro_rules! cases {
    ($($name:ident => $body:block)*) => {$(
        #[test]
        fn $name() $body
    )*};
}

fn at(era: u64, offset: u64) -> Position {
    Position { era, offset }
}

fn out(name: &str) -> Evacuation {
    Evacuation { data_centre: DataCentre::from_name(name), in_force: true }
}

fn back(name: &str) -> Evacuation {
    Evacuation { data_centre: DataCentre::from_name(name), in_force: false }
}

fn list(position: Position, names: &[&str]) -> EvacuationList {
    let data_centres = names.iter().map(|it| DataCentre::from_name(it)).collect();
    EvacuationList { position, data_centres }
}

/// The evacuations of a gateway that has read, up to offset 10, that `names` are evacuated.
fn evacuated(names: &[&str]) -> Evacuations {
    let mut evacuations = Evacuations::default();
    evacuations.apply_list(list(at(0, 10), names), NOW);
    evacuations
}

fn assert_evacuated(evacuations: &Evacuations, names: &[&str]) {
    let known: Vec<DataCentre> = evacuations.iter().map(|it| it.0).collect();
    let mut expected: Vec<DataCentre> = names.iter().map(|it| DataCentre::from_name(it)).collect();
    expected.sort_unstable();
    assert_eq!(known, expected);
    assert_eq!(evacuations.any(), !names.is_empty());
}

cases! {
    records_are_applied_in_order => {
        let mut evacuations = evacuated(&[]);
        let records = [out("a"), out("b"), back("a"), back("unknown")];
        let changes = evacuations.apply_records(&records, at(0, 14), NOW);
        assert_eq!(changes, [out("b")]);
        assert_evacuated(&evacuations, &["b"]);
        assert!(evacuations.is_evacuated(DataCentre::from_name("b")));
    }

    all_data_centres_may_be_evacuated => {
        let mut evacuations = evacuated(&["a"]);
        evacuations.apply_records(&[out("b"), out("c")], at(0, 12), NOW);
        assert_evacuated(&evacuations, &["a", "b", "c"]);
    }

    list_takes_back_what_it_lacks => {
        let mut evacuations = evacuated(&["a", "b"]);
        let changes = evacuations.apply_list(list(at(0, 20), &["b"]), NOW);
        assert_eq!(changes, [back("a")]);
        assert_evacuated(&evacuations, &["b"]);
    }

    time_of_an_evacuation_outlives_later_news => {
        let mut evacuations = evacuated(&["a"]);
        evacuations.apply_list(list(at(0, 20), &["a"]), NOW + 500);
        assert_eq!(evacuations.iter().next(), Some((DataCentre::from_name("a"), NOW)));
    }

    late_news_changes_nothing => {
        let mut evacuations = evacuated(&["a"]);
        assert!(evacuations.apply_list(list(at(0, 9), &["b"]), NOW).is_empty());
        assert!(evacuations.apply_list(list(at(0, 10), &[]), NOW).is_empty());
        assert!(evacuations.apply_records(&[back("a")], at(0, 8), NOW).is_empty());
        assert_evacuated(&evacuations, &["a"]);
        assert_eq!(evacuations.position(), at(0, 10));
    }

    gateway_that_was_frozen_catches_up_with_its_peers => {
        let mut woken = evacuated(&["a"]);
        let mut other = evacuated(&["a"]);
        other.apply_records(&[back("a"), out("b")], at(0, 12), NOW);
        let told = other.to_list().unwrap();
        assert!(other.apply_list(woken.to_list().unwrap(), NOW).is_empty());
        woken.apply_list(told, NOW);
        assert_evacuated(&woken, &["b"]);
        // Its own read of the same records changes nothing any more.
        assert!(woken.apply_records(&[back("a"), out("b")], at(0, 12), NOW).is_empty());
    }

    records_read_after_news_from_a_peer_lead_to_the_same => {
        let mut evacuations = evacuated(&[]);
        evacuations.apply_list(list(at(0, 12), &["b"]), NOW);
        let read = [out("a"), back("a"), out("b"), out("c")];
        evacuations.apply_records(&read, at(0, 14), NOW);
        assert_evacuated(&evacuations, &["b", "c"]);
    }

    nothing_is_told_while_nothing_was_evacuated => {
        let mut evacuations = evacuated(&[]);
        assert_eq!(evacuations.to_list(), None);
        evacuations.apply_records(&[out("a")], at(0, 11), NOW);
        evacuations.apply_records(&[back("a")], at(0, 12), NOW);
        assert_eq!(evacuations.to_list(), Some(list(at(0, 12), &[])));
    }

    evacuation_that_a_copy_lacks_stays_in_force_for_the_grace_period => {
        let mut evacuations = evacuated(&["a"]);
        assert!(evacuations.apply_list(list(at(1, 4), &[]), NOW).is_empty());
        assert!(evacuations.settle(NOW + RECOVERY_GRACE_MS - 1).is_empty());
        assert_evacuated(&evacuations, &["a"]);
        assert_eq!(evacuations.settle(NOW + RECOVERY_GRACE_MS), [back("a")]);
        assert_evacuated(&evacuations, &[]);
    }

    evacuation_that_is_written_again_outlives_the_grace_period => {
        let mut evacuations = evacuated(&["a"]);
        evacuations.apply_list(list(at(1, 4), &[]), NOW);
        evacuations.apply_records(&[out("a")], at(1, 5), NOW + 100);
        assert!(evacuations.settle(NOW + RECOVERY_GRACE_MS).is_empty());
        assert_evacuated(&evacuations, &["a"]);
    }

    what_a_copy_still_lists_does_not_come_back_at_once => {
        let mut evacuations = evacuated(&["a"]);
        evacuations.apply_records(&[back("a")], at(0, 11), NOW);
        evacuations.apply_list(list(at(1, 4), &["a"]), NOW);
        assert_evacuated(&evacuations, &[]);
        evacuations.apply_records(&[back("a")], at(1, 5), NOW + 100);
        assert!(evacuations.settle(NOW + RECOVERY_GRACE_MS).is_empty());
        assert_evacuated(&evacuations, &[]);
    }

    records_of_the_restored_store_take_effect_at_once => {
        let mut evacuations = evacuated(&["a"]);
        evacuations.apply_list(list(at(1, 4), &[]), NOW);
        // A peer has read more of the restored store.
        let changes = evacuations.apply_list(list(at(1, 5), &["b"]), NOW);
        assert_eq!(changes, [out("b")]);
        assert_evacuated(&evacuations, &["a", "b"]);
        assert_eq!(evacuations.settle(NOW + RECOVERY_GRACE_MS), [back("a")]);
    }

    each_gateway_waits_for_the_grace_period_itself => {
        let mut first = evacuated(&["a"]);
        first.apply_list(list(at(1, 4), &[]), NOW);
        let mut second = evacuated(&["a"]);
        second.apply_list(first.to_list().unwrap(), NOW + 400);
        assert_evacuated(&second, &["a"]);
        assert!(second.settle(NOW + RECOVERY_GRACE_MS).is_empty());
        assert_eq!(second.settle(NOW + 400 + RECOVERY_GRACE_MS), [back("a")]);
    }

    load_bound_shrinks_with_the_endpoints_that_are_left => {
        let settings = PolicySettings::default();
        assert_eq!(settings.with_share_left(1.0), settings);
        let engines = engines_with_load(40, 4.5);
        let bound = |left| placement::load_bound(&settings.with_share_left(left), &engines);
        let bounds = [1.0, 2.0 / 3.0, 1.0 / 3.0, 0.0].map(bound);
        assert!(bounds.is_sorted_by(|a, b| a > b), "{bounds:?}");
        assert!(bounds.iter().all(|it| *it >= 4.5), "{bounds:?}");
    }

    // A session's requests stay with their engine while a third of the engines is evacuated.
    prefix_keeps_its_engine_at_the_mean_load => {
        let settings = PolicySettings::default().with_share_left(2.0 / 3.0);
        let engines = engines_with_load(40, 4.5);
        let prefix = Some(Prefix { key: 7, running: 1.0 });
        let chosen = |random| placement::choose(&settings, prefix, &engines, random);
        assert!((1..100).all(|it| chosen(it) == chosen(0)));
    }
}

fn engines_with_load(count: u64, load: f64) -> Vec<Candidate> {
    let engine = |node| Candidate {
        node,
        load,
        is_local: true,
        failure_rate: 0.0,
        refusal_rate: 0.0,
        slowness: Slowness::USUAL,
    };
    (0..count).map(engine).collect()
}
