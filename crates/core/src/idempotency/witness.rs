use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use super::{Answer, KeyId, KeyPrefix};
use crate::{members::RouterRef, time::Millis};

/// Time for which a witness keeps a note, in milliseconds.
const RETENTION_MS: u64 = 3_600_000;

/// The witness's reply to a home that is about to start a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum NoteReply {
    /// The witness has a note of the key; the home may start it.
    Noted,
    /// The key is sealed or cannot be noted; the home must never start it.
    Sealed,
}

/// The witness's reply to a router that could not reach a key's home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SealReply {
    /// The home never started the key and never will.
    Sealed,
    /// The home may have started the key.
    Noted,
    /// The home ran the request and received this answer.
    Done(Answer),
    /// The witness may have evicted its note of the key, or is not the
    /// incarnation that the key names.
    Forgotten,
}

#[derive(Debug)]
enum State {
    Noted,
    Sealed,
    Done(Answer),
}

/// What a witness has recorded about a key.
#[derive(Debug)]
struct Note {
    prefix: KeyPrefix,
    state: State,
}

/// The notes that this router incarnation keeps as a witness for other homes.
///
/// For each home it remembers the highest prefix serial of an evicted note. A
/// key up to that serial without a note may have been noted before, so it is
/// neither sealed nor noted again: eviction can cause neither a false "not run"
/// nor a second start.
#[derive(Debug)]
pub struct KeyWitness {
    own: RouterRef,
    capacity: usize,
    notes: HashMap<KeyId, Note>,
    by_age: BTreeMap<(Millis, KeyId), ()>,
    /// Highest prefix serial of an evicted note, by home.
    evicted_serials: HashMap<RouterRef, u32>,
}

impl KeyWitness {
    /// Creates a witness without notes that keeps at most `capacity` of them.
    pub fn new(own: RouterRef, capacity: usize) -> KeyWitness {
        KeyWitness {
            own,
            capacity,
            notes: HashMap::new(),
            by_age: BTreeMap::new(),
            evicted_serials: HashMap::new(),
        }
    }

    /// Records that the home is about to start a key.
    ///
    /// Repeating the call does not change the note.
    pub fn note(&mut self, key: KeyId, prefix: KeyPrefix, now: Millis) -> NoteReply {
        if prefix.witness != Some(self.own) {
            return NoteReply::Sealed;
        }
        match self.notes.get(&key).map(|note| &note.state) {
            Some(State::Noted) => NoteReply::Noted,
            Some(State::Sealed | State::Done(_)) => NoteReply::Sealed,
            None if self.may_have_evicted(&prefix) => NoteReply::Sealed,
            None => {
                self.insert(key, prefix, State::Noted, now);
                NoteReply::Noted
            }
        }
    }

    /// Seals a key unless its home may have started it.
    pub fn seal(&mut self, key: KeyId, prefix: KeyPrefix, now: Millis) -> SealReply {
        if prefix.witness != Some(self.own) {
            return SealReply::Forgotten;
        }
        match self.notes.get(&key).map(|note| &note.state) {
            Some(State::Noted) => SealReply::Noted,
            Some(State::Sealed) => SealReply::Sealed,
            Some(State::Done(answer)) => SealReply::Done(answer.clone()),
            None if self.may_have_evicted(&prefix) => SealReply::Forgotten,
            None => {
                self.insert(key, prefix, State::Sealed, now);
                SealReply::Sealed
            }
        }
    }

    /// Stores the answer of a key that its home has run.
    pub fn mark_finished(&mut self, key: KeyId, answer: Answer) {
        if let Some(note) = self.notes.get_mut(&key) {
            note.state = State::Done(answer);
        }
    }

    /// Seals a noted key that the home reports as not run.
    pub fn mark_refused(&mut self, key: KeyId) {
        if let Some(note) = self.notes.get_mut(&key) {
            note.state = State::Sealed;
        }
    }

    /// Evicts notes that are an hour old or older.
    pub fn expire(&mut self, now: Millis) {
        while let Some((&(at, _), ())) = self.by_age.first_key_value()
            && now.since(at) >= RETENTION_MS
        {
            self.evict_oldest();
        }
    }

    /// Returns the number of notes.
    pub fn len(&self) -> usize {
        self.notes.len()
    }

    /// Returns whether there are no notes.
    pub fn is_empty(&self) -> bool {
        self.notes.is_empty()
    }

    /// Returns whether a note of this key may have been evicted.
    fn may_have_evicted(&self, prefix: &KeyPrefix) -> bool {
        self.evicted_serials.get(&prefix.home).is_some_and(|&serial| prefix.serial <= serial)
    }

    fn insert(&mut self, key: KeyId, prefix: KeyPrefix, state: State, now: Millis) {
        if self.notes.len() >= self.capacity {
            self.evict_oldest();
        }
        self.notes.insert(key, Note { prefix, state });
        self.by_age.insert((now, key), ());
    }

    fn evict_oldest(&mut self) {
        let Some(((_, key), ())) = self.by_age.pop_first() else { return };
        if let Some(note) = self.notes.remove(&key) {
            let serial = self.evicted_serials.entry(note.prefix.home).or_default();
            *serial = (*serial).max(note.prefix.serial);
        }
    }
}
