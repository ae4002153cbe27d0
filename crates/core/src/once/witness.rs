use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use super::{Answer, KeyId, KeyPrefix};
use crate::{members::RouterRef, time::Millis};

/// How long a witness keeps what it noted, in milliseconds.
const KEEP_MS: u64 = 3_600_000;

/// The witness's answer to a home that wants to start a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum NoteReply {
    /// The key is noted; the home may start it.
    Noted,
    /// The key is closed; the home must never start it.
    Sealed,
}

/// The witness's answer to a router that could not reach a key's home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SealReply {
    /// The home never started the key and never will.
    Sealed,
    /// The home may have started the key.
    Noted,
    /// The home ran the key and this was the answer.
    Done(Answer),
    /// The witness has forgotten the key, or is another incarnation.
    Forgotten,
}

#[derive(Debug)]
enum State {
    Noted,
    Sealed,
    Done(Answer),
}

#[derive(Debug)]
struct Note {
    prefix: KeyPrefix,
    state: State,
}

/// The notes that one router keeps as a witness for other homes.
///
/// What it evicts raises a mark per home: keys at or below the mark are never
/// judged as unknown to the witness, so that forgetting cannot turn into a
/// false "not run" or a second start.
#[derive(Debug)]
pub struct Witness {
    own: RouterRef,
    capacity: usize,
    notes: HashMap<KeyId, Note>,
    order: BTreeMap<(Millis, KeyId), ()>,
    evicted: HashMap<RouterRef, u32>,
}

impl Witness {
    /// Creates a witness that keeps at most `capacity` notes.
    pub fn new(own: RouterRef, capacity: usize) -> Witness {
        Witness {
            own,
            capacity,
            notes: HashMap::new(),
            order: BTreeMap::new(),
            evicted: HashMap::new(),
        }
    }

    /// Notes that the home is about to start a key. Repeats are answered alike.
    pub fn note(&mut self, key: KeyId, prefix: KeyPrefix, now: Millis) -> NoteReply {
        if prefix.witness != Some(self.own) {
            return NoteReply::Sealed;
        }
        match self.notes.get(&key).map(|note| &note.state) {
            Some(State::Noted) => NoteReply::Noted,
            Some(State::Sealed | State::Done(_)) => NoteReply::Sealed,
            None if self.has_forgotten(&prefix) => NoteReply::Sealed,
            None => {
                self.insert(key, prefix, State::Noted, now);
                NoteReply::Noted
            }
        }
    }

    /// Closes a key unless its home has started it.
    pub fn seal(&mut self, key: KeyId, prefix: KeyPrefix, now: Millis) -> SealReply {
        if prefix.witness != Some(self.own) {
            return SealReply::Forgotten;
        }
        match self.notes.get(&key).map(|note| &note.state) {
            Some(State::Noted) => SealReply::Noted,
            Some(State::Sealed) => SealReply::Sealed,
            Some(State::Done(answer)) => SealReply::Done(answer.clone()),
            None if self.has_forgotten(&prefix) => SealReply::Forgotten,
            None => {
                self.insert(key, prefix, State::Sealed, now);
                SealReply::Sealed
            }
        }
    }

    /// Takes over the answer of a key that its home has run.
    pub fn finish(&mut self, key: KeyId, answer: Answer) {
        if let Some(note) = self.notes.get_mut(&key) {
            note.state = State::Done(answer);
        }
    }

    /// Notes that an endpoint refused the key, so that it never ran.
    pub fn refuse(&mut self, key: KeyId) {
        if let Some(note) = self.notes.get_mut(&key) {
            note.state = State::Sealed;
        }
    }

    /// Forgets notes older than an hour.
    pub fn expire(&mut self, now: Millis) {
        while let Some((&(at, _), ())) = self.order.first_key_value()
            && now.since(at) >= KEEP_MS
        {
            self.evict_oldest();
        }
    }

    /// Returns the number of notes kept.
    pub fn len(&self) -> usize {
        self.notes.len()
    }

    /// Returns whether no notes are kept.
    pub fn is_empty(&self) -> bool {
        self.notes.is_empty()
    }

    fn has_forgotten(&self, prefix: &KeyPrefix) -> bool {
        self.evicted.get(&prefix.home).is_some_and(|&mark| prefix.serial <= mark)
    }

    fn insert(&mut self, key: KeyId, prefix: KeyPrefix, state: State, now: Millis) {
        if self.notes.len() >= self.capacity {
            self.evict_oldest();
        }
        self.notes.insert(key, Note { prefix, state });
        self.order.insert((now, key), ());
    }

    fn evict_oldest(&mut self) {
        let Some(((_, key), ())) = self.order.pop_first() else { return };
        if let Some(note) = self.notes.remove(&key) {
            let mark = self.evicted.entry(note.prefix.home).or_default();
            *mark = (*mark).max(note.prefix.serial);
        }
    }
}
