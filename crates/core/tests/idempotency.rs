//! Tests of idempotency keys and of the roles of home and witness.

use std::rc::Rc;

use assert_matches::assert_matches;
use mimosaledge_core::{
    Code, Millis,
    idempotency::{
        Answer, Key, KeyHome, KeyPrefix, KeyWitness, MalformedKey, NoteReply, SealReply, Step,
    },
    members::RouterRef,
};

const HOME: RouterRef = RouterRef { id: 1, incarnation: 11 };
const WITNESS: RouterRef = RouterRef { id: 2, incarnation: 22 };
const HOUR_MS: u64 = 3_600_000;

fn home(capacity: usize) -> KeyHome {
    KeyHome::new(HOME, capacity, 1_000).unwrap()
}

fn key(prefix: KeyPrefix, suffix: &str) -> Key {
    Key::parse("workspace", &format!("{prefix}.{suffix}")).unwrap()
}

fn answer() -> Rc<Answer> {
    Rc::new(Answer { status: 200, body: Some(b"done".to_vec()) })
}

/// Starts and finishes a key that needs no witness.
fn run_key(home: &mut KeyHome, suffix: &str, at: u64) -> Key {
    let key = key(home.issue_prefix(None), suffix);
    assert_eq!(home.begin(&key, 1), Step::Start);
    home.mark_finished(key.id, answer(), Millis(at));
    key
}

macro_rules! malformed_keys {
    ($($name:ident: $text:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(Key::parse("workspace", $text), Err(MalformedKey));
        }
    )*};
}

malformed_keys! {
    rejects_empty_key: "";
    rejects_key_without_suffix: "k1-1-b-2-16-1.";
    rejects_key_without_prefix: ".suffix";
    rejects_unknown_format_version: "k9-1-b-2-16-1.suffix";
    rejects_missing_number: "k1-1-b-2-16.suffix";
    rejects_extra_number: "k1-1-b-2-16-1-1.suffix";
    rejects_oversized_number: "k1-1ffffffff-b-2-16-1.suffix";
    rejects_non_hexadecimal_number: "k1-x-b-2-16-1.suffix";
}

#[test]
fn key_text_round_trips() {
    let prefix = home(1).issue_prefix(Some(WITNESS));
    assert_eq!(prefix.to_string().parse(), Ok(prefix));
}

#[test]
fn workspaces_do_not_share_keys() {
    let text = format!("{}.suffix", home(1).issue_prefix(None));
    let (a, b) = (Key::parse("a", &text).unwrap(), Key::parse("b", &text).unwrap());
    assert_ne!(a.id, b.id);
}

#[test]
fn repeat_while_running_waits() {
    let mut home = home(10);
    let key = key(home.issue_prefix(None), "a");
    assert_eq!(home.begin(&key, 1), Step::Start);
    assert_matches!(home.begin(&key, 1), Step::Wait(_));
}

#[test]
fn repeat_after_completion_returns_stored_answer() {
    let mut home = home(10);
    let key = run_key(&mut home, "a", 0);
    assert_eq!(home.begin(&key, 1), Step::ReturnStored(answer()));
}

#[test]
fn key_reused_for_another_request_is_refused() {
    let mut home = home(10);
    let key = run_key(&mut home, "a", 0);
    assert_eq!(home.begin(&key, 2), Step::Refuse(Code::KeyReused));
}

#[test]
fn key_is_sealed_when_the_witness_does_not_reply() {
    let mut home = home(10);
    let key = key(home.issue_prefix(Some(WITNESS)), "a");
    assert_eq!(home.begin(&key, 1), Step::Note(WITNESS));
    assert_eq!(home.handle_note_reply(key.id, None, Millis(0)), Step::Refuse(Code::WitnessSilent));
    // A reply that arrives after the timeout must not start the key.
    let late = home.handle_note_reply(key.id, Some(NoteReply::Noted), Millis(0));
    assert_matches!(late, Step::Refuse(_));
    assert_eq!(home.begin(&key, 1), Step::Refuse(Code::WitnessSilent));
}

#[test]
fn prefix_not_yet_issued_is_refused() {
    let mut home = home(10);
    let forged = KeyPrefix { home: HOME, witness: None, serial: 99 };
    assert_eq!(home.begin(&key(forged, "a"), 1), Step::Refuse(Code::UnusableKey));
}

#[test]
fn prefix_of_an_earlier_incarnation_is_refused() {
    let mut home = home(10);
    home.issue_prefix(None);
    let old = RouterRef { incarnation: 10, ..HOME };
    let prefix = KeyPrefix { home: old, witness: None, serial: 1 };
    assert_eq!(home.begin(&key(prefix, "a"), 1), Step::Refuse(Code::UnusableKey));
}

#[test]
fn full_table_refuses_new_keys_while_all_are_open() {
    let mut home = home(1);
    let (first, second) = (key(home.issue_prefix(None), "a"), key(home.issue_prefix(None), "b"));
    assert_eq!(home.begin(&first, 1), Step::Start);
    assert_eq!(home.begin(&second, 1), Step::Refuse(Code::KeysFull));
}

#[test]
fn evicted_key_never_starts_again() {
    let mut home = home(1);
    let first = run_key(&mut home, "a", 0);
    run_key(&mut home, "b", 1);
    assert_eq!(home.begin(&first, 1), Step::Refuse(Code::KeyExpired));
}

#[test]
fn expired_key_never_starts_again() {
    let mut home = home(10);
    let first = run_key(&mut home, "a", 0);
    home.expire(Millis(HOUR_MS));
    assert_eq!(home.len(), 0);
    assert_eq!(home.begin(&first, 1), Step::Refuse(Code::KeyExpired));
}

#[test]
fn stored_answers_stay_within_the_memory_limit() {
    let mut home = KeyHome::new(HOME, 10, 6).unwrap();
    let first = run_key(&mut home, "a", 0);
    let second = run_key(&mut home, "b", 0);
    assert_eq!(home.begin(&first, 1), Step::ReturnStored(answer()));
    assert_eq!(home.begin(&second, 1), Step::Refuse(Code::DoneAnswerLost));
}

#[test]
fn outcome_stays_unknown_after_an_incomplete_answer() {
    let mut home = home(10);
    let key = key(home.issue_prefix(None), "a");
    home.begin(&key, 1);
    home.mark_broken(key.id, Millis(0));
    assert_eq!(home.begin(&key, 1), Step::Refuse(Code::OutcomeUnknown));
}

#[test]
fn witness_neither_notes_nor_seals_an_evicted_key() {
    let mut home = home(10);
    let mut witness = KeyWitness::new(WITNESS, 1);
    let first = key(home.issue_prefix(Some(WITNESS)), "a");
    let second = key(home.issue_prefix(Some(WITNESS)), "b");
    assert_eq!(witness.note(first.id, first.prefix, Millis(0)), NoteReply::Noted);
    assert_eq!(witness.note(second.id, second.prefix, Millis(1)), NoteReply::Noted);
    assert_eq!(witness.seal(first.id, first.prefix, Millis(2)), SealReply::Forgotten);
    assert_eq!(witness.note(first.id, first.prefix, Millis(2)), NoteReply::Sealed);
}

#[test]
fn witness_of_another_incarnation_neither_notes_nor_seals() {
    let mut home = home(10);
    let key = key(home.issue_prefix(Some(WITNESS)), "a");
    let mut restarted = KeyWitness::new(RouterRef { incarnation: 23, ..WITNESS }, 10);
    assert_eq!(restarted.note(key.id, key.prefix, Millis(0)), NoteReply::Sealed);
    assert_eq!(restarted.seal(key.id, key.prefix, Millis(0)), SealReply::Forgotten);
}

#[test]
fn witness_returns_the_answer_of_a_finished_key() {
    let mut home = home(10);
    let mut witness = KeyWitness::new(WITNESS, 10);
    let key = key(home.issue_prefix(Some(WITNESS)), "a");
    witness.note(key.id, key.prefix, Millis(0));
    assert_eq!(witness.seal(key.id, key.prefix, Millis(0)), SealReply::Noted);
    witness.mark_finished(key.id, (*answer()).clone());
    assert_matches!(witness.seal(key.id, key.prefix, Millis(0)), SealReply::Done(_));
}

#[test]
fn witness_seals_a_key_that_an_endpoint_refused() {
    let mut home = home(10);
    let mut witness = KeyWitness::new(WITNESS, 10);
    let key = key(home.issue_prefix(Some(WITNESS)), "a");
    witness.note(key.id, key.prefix, Millis(0));
    witness.mark_refused(key.id);
    assert_eq!(witness.seal(key.id, key.prefix, Millis(0)), SealReply::Sealed);
}
