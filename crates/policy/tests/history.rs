//! History of changes, from which gateways with an older list are brought up to
//! date.

use mimosaledge_policy::{endpoints::Change, history::History};

fn removal(id: &str) -> Change {
    Change::Remove(id.into())
}

#[test]
fn changes_since_a_known_digest_are_returned_in_order() {
    let mut history = History::default();
    history.record(1, &[removal("a")]);
    history.record(2, &[removal("b"), removal("c")]);
    history.record(3, &[removal("d")]);
    assert_eq!(history.since(2), Some(vec![removal("b"), removal("c"), removal("d")]));
    assert_eq!(history.since(1).unwrap().len(), 4);
}

#[test]
fn unknown_digest_returns_none() {
    let mut history = History::default();
    history.record(1, &[removal("a")]);
    assert_eq!(history.since(7), None);
    history.clear();
    assert_eq!(history.since(1), None);
}

#[test]
fn recurring_digest_matches_its_latest_occurrence() {
    let mut history = History::default();
    history.record(1, &[removal("a")]);
    history.record(2, &[removal("b")]);
    history.record(1, &[removal("c")]);
    assert_eq!(history.since(1), Some(vec![removal("c")]));
}

#[test]
fn oldest_changes_are_evicted() {
    let mut history = History::default();
    let many: Vec<Change> = (0..1_500).map(|it| removal(&it.to_string())).collect();
    history.record(1, &many);
    history.record(2, &many);
    assert_eq!(history.since(1), None);
    assert_eq!(history.since(2).unwrap().len(), 1_500);
}
