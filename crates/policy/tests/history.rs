//! What a gateway that missed changes of the list is told.

use mimosaledge_policy::{endpoints::Change, history::History};

fn gone(id: &str) -> Change {
    Change::Remove(id.into())
}

#[test]
fn changes_since_a_known_list_are_told_in_order() {
    let mut history = History::default();
    history.record(1, &[gone("a")]);
    history.record(2, &[gone("b"), gone("c")]);
    history.record(3, &[gone("d")]);
    assert_eq!(history.since(2), Some(vec![gone("b"), gone("c"), gone("d")]));
    assert_eq!(history.since(1).unwrap().len(), 4);
}

#[test]
fn nothing_is_told_of_an_unknown_list() {
    let mut history = History::default();
    history.record(1, &[gone("a")]);
    assert_eq!(history.since(7), None);
    history.clear();
    assert_eq!(history.since(1), None);
}

#[test]
fn list_that_came_back_counts_from_its_last_time() {
    let mut history = History::default();
    history.record(1, &[gone("a")]);
    history.record(2, &[gone("b")]);
    history.record(1, &[gone("c")]);
    assert_eq!(history.since(1), Some(vec![gone("c")]));
}

#[test]
fn old_changes_are_forgotten() {
    let mut history = History::default();
    let many: Vec<Change> = (0..1_500).map(|it| gone(&it.to_string())).collect();
    history.record(1, &many);
    history.record(2, &many);
    assert_eq!(history.since(1), None);
    assert_eq!(history.since(2).unwrap().len(), 1_500);
}
