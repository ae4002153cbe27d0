use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use super::{Answer, KeyId, KeyPrefix};
use crate::{members::RouterRef, time::Millis};

/// Time for which a witness keeps the record of a key, in milliseconds.
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
    /// The home ran the request and received this response.
    Done(Answer),
    /// The witness may have evicted its record of the key, or is not the
    /// incarnation that the key names.
    Forgotten,
}

#[derive(Debug)]
enum KeyState {
    Noted,
    Sealed,
    Done(Answer),
}

/// What a witness has recorded about a key.
#[derive(Debug)]
struct KeyRecord {
    prefix: KeyPrefix,
    state: KeyState,
}

/// The key records that this router incarnation keeps as a witness for other
/// homes.
///
/// For each home it also keeps the highest prefix serial of an evicted record. A
/// key up to that serial that has no record may have been noted before, so it is
/// neither sealed nor noted again: eviction can cause neither a false "not run"
/// nor a second start.
#[derive(Debug)]
pub struct KeyWitness {
    own: RouterRef,
    capacity: usize,
    records: HashMap<KeyId, KeyRecord>,
    by_age: BTreeMap<(Millis, KeyId), ()>,
    /// Highest prefix serial of an evicted record, by home.
    evicted_serials: HashMap<RouterRef, u32>,
}

impl KeyWitness {
    /// Creates a witness without records that keeps at most `capacity` of them.
    pub fn new(own: RouterRef, capacity: usize) -> KeyWitness {
        KeyWitness {
            own,
            capacity,
            records: HashMap::new(),
            by_age: BTreeMap::new(),
            evicted_serials: HashMap::new(),
        }
    }

    /// Records that the home is about to start a key.
    ///
    /// Repeated calls have no further effect.
    pub fn note(&mut self, key: KeyId, prefix: KeyPrefix, now: Millis) -> NoteReply {
        if prefix.witness != Some(self.own) {
            return NoteReply::Sealed;
        }
        match self.records.get(&key).map(|record| &record.state) {
            Some(KeyState::Noted) => NoteReply::Noted,
            Some(KeyState::Sealed | KeyState::Done(_)) => NoteReply::Sealed,
            None if self.may_have_evicted(&prefix) => NoteReply::Sealed,
            None => {
                self.insert(key, prefix, KeyState::Noted, now);
                NoteReply::Noted
            }
        }
    }

    /// Seals a key unless its home may have started it.
    pub fn seal(&mut self, key: KeyId, prefix: KeyPrefix, now: Millis) -> SealReply {
        if prefix.witness != Some(self.own) {
            return SealReply::Forgotten;
        }
        match self.records.get(&key).map(|record| &record.state) {
            Some(KeyState::Noted) => SealReply::Noted,
            Some(KeyState::Sealed) => SealReply::Sealed,
            Some(KeyState::Done(answer)) => SealReply::Done(answer.clone()),
            None if self.may_have_evicted(&prefix) => SealReply::Forgotten,
            None => {
                self.insert(key, prefix, KeyState::Sealed, now);
                SealReply::Sealed
            }
        }
    }

    /// Stores the response of a key that its home has run.
    pub fn mark_finished(&mut self, key: KeyId, answer: Answer) {
        if let Some(record) = self.records.get_mut(&key) {
            record.state = KeyState::Done(answer);
        }
    }

    /// Seals a noted key that the home reports as not run.
    pub fn mark_refused(&mut self, key: KeyId) {
        if let Some(record) = self.records.get_mut(&key) {
            record.state = KeyState::Sealed;
        }
    }

    /// Evicts records that are an hour old or older.
    pub fn expire(&mut self, now: Millis) {
        while let Some((&(at, _), ())) = self.by_age.first_key_value()
            && now.since(at) >= RETENTION_MS
        {
            self.evict_oldest();
        }
    }

    /// Returns the number of key records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no key records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns whether a record of this key may have been evicted.
    fn may_have_evicted(&self, prefix: &KeyPrefix) -> bool {
        self.evicted_serials.get(&prefix.home).is_some_and(|&serial| prefix.serial <= serial)
    }

    fn insert(&mut self, key: KeyId, prefix: KeyPrefix, state: KeyState, now: Millis) {
        if self.records.len() >= self.capacity {
            self.evict_oldest();
        }
        self.records.insert(key, KeyRecord { prefix, state });
        self.by_age.insert((now, key), ());
    }

    fn evict_oldest(&mut self) {
        let Some(((_, key), ())) = self.by_age.pop_first() else { return };
        if let Some(record) = self.records.remove(&key) {
            let serial = self.evicted_serials.entry(record.prefix.home).or_default();
            *serial = (*serial).max(record.prefix.serial);
        }
    }
}
