//! Tests of the replicated head: replicas accept the same records, and the head
//! never moves back.

use std::sync::Arc;

use mimosaledge_core::{
    config::PresetName,
    head::{ApplyOutcome, ConfigState, Head, HeadReplica},
    record::{Change, Record},
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn publish(id: &str, parent: Option<u64>) -> String {
    let text = Arc::from(format!("text of {id}"));
    Record { id: id.to_owned(), change: Change::Publish { parent, text } }.to_json()
}

fn switch(id: &str, parent: u64, preset: PresetName) -> String {
    Record { id: id.to_owned(), change: Change::Switch { parent, preset } }.to_json()
}

/// Applies all records in `log` to a new replica.
fn apply_all(log: &[String]) -> (HeadReplica, Vec<ApplyOutcome>) {
    let mut replica = HeadReplica::default();
    let outcomes =
        log.iter().enumerate().map(|(offset, it)| replica.apply(offset as u64, it)).collect();
    (replica, outcomes)
}

fn head_id(replica: &HeadReplica) -> Option<&str> {
    replica.head.as_ref().map(|head: &Head| head.id.as_str())
}

#[test]
fn first_of_two_concurrent_publishes_is_accepted() {
    let log = [publish("a", None), publish("b", Some(0)), publish("c", Some(0))];
    let (replica, outcomes) = apply_all(&log);
    assert_eq!(outcomes, [ApplyOutcome::Accepted, ApplyOutcome::Accepted, ApplyOutcome::Conflict]);
    assert_eq!(head_id(&replica), Some("b"));
}

#[test]
fn duplicate_append_takes_effect_once() {
    let log = [publish("a", None), publish("b", Some(0)), publish("b", Some(0))];
    let (replica, outcomes) = apply_all(&log);
    assert_eq!(outcomes[2], ApplyOutcome::Conflict);
    assert_eq!(replica.head_offset(), Some(1));
}

#[test]
fn switch_keeps_the_configuration() {
    let log = [publish("a", None), switch("s", 0, PresetName::Peak)];
    let (replica, _) = apply_all(&log);
    let head = replica.head.unwrap();
    assert_eq!((head.preset, &*head.text), (PresetName::Peak, "text of a"));
}

#[test]
fn publish_keeps_the_preset() {
    let log = [publish("a", None), switch("s", 0, PresetName::Peak), publish("b", Some(1))];
    let (replica, _) = apply_all(&log);
    assert_eq!(replica.head.unwrap().preset, PresetName::Peak);
}

#[test]
fn switch_without_configuration_is_a_conflict() {
    let (replica, outcomes) = apply_all(&[switch("s", 0, PresetName::Peak)]);
    assert_eq!((outcomes, replica.head), (vec![ApplyOutcome::Conflict], None));
}

#[test]
fn undecodable_record_is_ignored() {
    let log = [publish("a", None), "{broken".to_owned(), publish("b", Some(0))];
    let (replica, outcomes) = apply_all(&log);
    assert_eq!(outcomes[1], ApplyOutcome::Ignored);
    assert_eq!(head_id(&replica), Some("b"));
}

#[test]
fn reapplied_record_is_ignored() {
    let log = [publish("a", None), publish("b", Some(0))];
    let (mut replica, _) = apply_all(&log);
    let before = replica.clone();
    assert_eq!(replica.apply(0, &log[0]), ApplyOutcome::Ignored);
    assert_eq!(replica, before);
}

#[test]
fn gap_without_snapshot_keeps_the_head_and_accepts_nothing() {
    let (mut replica, _) = apply_all(&[publish("a", None)]);
    let late = publish("z", Some(0));
    assert_eq!(replica.repair_gap(5, [(5, late.as_str())].into_iter()), ApplyOutcome::Ignored);
    assert_eq!(replica.apply(5, &late), ApplyOutcome::Conflict);
    assert_eq!(head_id(&replica), Some("a"));
    assert!(replica.gapped);
}

#[test]
fn snapshot_repairs_a_gap() {
    let (writer, _) = apply_all(&[publish("a", None), publish("b", Some(0))]);
    let snapshot = writer.to_snapshot("s".to_owned()).unwrap().to_json();
    let next = publish("c", Some(1));
    let retained = [(2, snapshot.as_str()), (3, next.as_str())];
    let mut replica = HeadReplica::default();
    assert_eq!(replica.repair_gap(2, retained.into_iter()), ApplyOutcome::Restored);
    assert_eq!((head_id(&replica), replica.next, replica.gapped), (Some("c"), 4, false));
}

#[test]
fn snapshot_that_leaves_a_gap_to_the_retained_records_is_not_used() {
    let (writer, _) = apply_all(&[publish("a", None)]);
    // The log has dropped record 1, which is newer than the snapshot.
    let snapshot = writer.to_snapshot("s".to_owned()).unwrap().to_json();
    let mut replica = HeadReplica::default();
    assert_eq!(replica.repair_gap(2, [(2, snapshot.as_str())].into_iter()), ApplyOutcome::Ignored);
    assert_eq!(replica.head, None);
}

#[test]
fn replica_with_a_gap_writes_no_snapshot() {
    let (mut replica, _) = apply_all(&[publish("a", None)]);
    replica.repair_gap(5, std::iter::empty());
    assert_eq!(replica.to_snapshot("s".to_owned()), None);
}

#[test]
fn older_replica_is_not_adopted() {
    let (old, _) = apply_all(&[publish("a", None)]);
    let (mut new, _) = apply_all(&[publish("a", None), publish("b", Some(0))]);
    assert_eq!(new.adopt(&old), ApplyOutcome::Ignored);
    assert_eq!(head_id(&new), Some("b"));
}

#[test]
fn adopting_a_peer_repairs_a_gap() {
    let (peer, _) = apply_all(&[publish("a", None), publish("b", Some(0))]);
    let (mut replica, _) = apply_all(&[publish("a", None)]);
    replica.repair_gap(2, std::iter::empty());
    assert_eq!(replica.adopt(&peer), ApplyOutcome::Restored);
    assert!(!replica.gapped);
}

#[test]
fn unparsable_head_leaves_the_previous_configuration_active() {
    let text = include_str!("../../../deploy/lagyviz/config.yaml");
    let head = |offset, text: &str| Head {
        offset,
        id: String::new(),
        text: text.into(),
        preset: PresetName::Ordinary,
    };
    let mut state = ConfigState::default();
    assert!(state.activate(&head(0, text)));
    assert!(!state.activate(&head(1, "broken")));
    assert_eq!(state.active().unwrap().offset, 0);
    assert_eq!(state.activation_error().unwrap().0, 1);
    assert!(state.activate(&head(2, text)));
    assert!(state.activation_error().is_none());
}

/// Replicas that start late, pause, miss dropped records and adopt the state of
/// peers agree on the head whenever they have no gap, and never move back.
#[test]
fn replicas_agree_and_never_move_back() {
    for seed in 0..60 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut log: Vec<String> = Vec::new();
        let mut reference = HeadReplica::default();
        let mut first = 0;
        let mut replicas = vec![HeadReplica::default(); 4];
        for step in 0..200 {
            match rng.random_range(0..10) {
                0..3 => append(&mut log, &mut reference, &mut rng, step),
                3 => first = (first + rng.random_range(0..4)).min(log.len()),
                4 => write_snapshot(&mut log, &mut reference, &replicas, &mut rng),
                5 => adopt(&mut replicas, &mut rng),
                _ => read_page(&mut replicas, &mut rng, &log, first),
            }
            check_agreement(&replicas, &reference, &log, seed);
        }
    }
}

fn append(log: &mut Vec<String>, reference: &mut HeadReplica, rng: &mut Pcg64Mcg, step: usize) {
    let is_stale = rng.random_range(0..3) == 0;
    let parent = if is_stale { Some(0) } else { reference.head_offset() };
    log.push(publish(&format!("r{step}"), parent));
    reference.apply(log.len() as u64 - 1, &log[log.len() - 1]);
}

fn write_snapshot(
    log: &mut Vec<String>,
    reference: &mut HeadReplica,
    replicas: &[HeadReplica],
    rng: &mut Pcg64Mcg,
) {
    let replica = &replicas[rng.random_range(0..replicas.len())];
    if let Some(record) = replica.to_snapshot("snapshot".to_owned()) {
        log.push(record.to_json());
        reference.apply(log.len() as u64 - 1, &log[log.len() - 1]);
    }
}

fn adopt(replicas: &mut [HeadReplica], rng: &mut Pcg64Mcg) {
    let (from, to) = (rng.random_range(0..4), rng.random_range(0..4));
    let other = replicas[from].clone();
    assert_moves_forward(&mut replicas[to], |it| {
        it.adopt(&other);
    });
}

fn read_page(replicas: &mut [HeadReplica], rng: &mut Pcg64Mcg, log: &[String], first: usize) {
    let replica = &mut replicas[rng.random_range(0..4)];
    let from = first.max(replica.next as usize).min(log.len());
    let retained: Vec<(u64, &str)> =
        (from..log.len()).map(|at| (at as u64, log[at].as_str())).collect();
    assert_moves_forward(replica, |it| {
        it.repair_gap(first as u64, retained.iter().copied());
        for (offset, text) in retained {
            it.apply(offset, text);
        }
    });
}

fn assert_moves_forward(replica: &mut HeadReplica, change: impl FnOnce(&mut HeadReplica)) {
    let before = replica.head_offset();
    change(replica);
    assert!(replica.head_offset() >= before, "the head moved back");
}

fn check_agreement(replicas: &[HeadReplica], reference: &HeadReplica, log: &[String], seed: u64) {
    for replica in replicas.iter().filter(|it| !it.gapped) {
        let mut expected = HeadReplica::default();
        for (offset, text) in log.iter().enumerate().take(replica.next as usize) {
            expected.apply(offset as u64, text);
        }
        assert_eq!(replica.head_offset(), expected.head_offset(), "seed {seed}");
        assert!(replica.head_offset() <= reference.head_offset());
    }
}
