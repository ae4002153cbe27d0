//! The deterministic fold of log records into the accepted configuration.
//!
//! A publish or switch counts only if its parent is the head at its own
//! offset. Of two operators who race from one parent the first in the log wins
//! on every router alike, and a repeated append of one record counts once.

use std::{rc::Rc, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    config::{Config, ConfigError, PresetName},
    record::{Change, Record},
};

/// The accepted configuration and preset.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// Offset of the record that last changed the head.
    pub offset: u64,
    /// Identifier of that record.
    pub id: String,
    /// The accepted configuration as YAML.
    pub text: Arc<str>,
    /// The accepted preset.
    pub preset: PresetName,
}

/// What the fold made of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The record became the head.
    Accepted,
    /// The record's parent was not the head.
    Conflict,
    /// A snapshot was adopted by a reader that lacked history.
    Restored,
    /// The record restates the head.
    Snapshot,
    /// The record changed nothing.
    Ignored,
}

/// What a reader found in one answer of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PageNews {
    /// Whether the head moved.
    pub moved: bool,
    /// Whether lost history was repaired from a snapshot.
    pub restored: bool,
    /// Offset of the newest snapshot read.
    pub snapshot: Option<u64>,
}

/// The state of a reader: what it has read and the head that follows from it.
///
/// The head only ever moves forward.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Fold {
    /// Offset of the next record to read.
    pub next: u64,
    /// The head, unless no record has been accepted yet.
    pub head: Option<Head>,
    /// Whether records were lost before they were read, so that the head may
    /// be behind.
    pub gapped: bool,
}

impl Fold {
    /// Applies the record at `offset`.
    ///
    /// Records below `next` were applied before and are ignored.
    pub fn apply(&mut self, offset: u64, text: &str) -> Verdict {
        if offset < self.next {
            return Verdict::Ignored;
        }
        if offset > self.next {
            self.gapped = true;
        }
        self.next = offset + 1;
        match Record::from_json(text) {
            Some(record) => self.apply_record(offset, record),
            None => Verdict::Ignored,
        }
    }

    fn apply_record(&mut self, offset: u64, record: Record) -> Verdict {
        match record.change {
            Change::Publish { parent, text } => {
                let preset = self.head.as_ref().map_or(PresetName::Ordinary, |head| head.preset);
                self.advance(parent, Head { offset, id: record.id, text, preset })
            }
            Change::Switch { parent, preset } => {
                let Some(head) = &self.head else { return Verdict::Conflict };
                let text = Arc::clone(&head.text);
                self.advance(Some(parent), Head { offset, id: record.id, text, preset })
            }
            Change::Snapshot { .. } => Verdict::Snapshot,
        }
    }

    fn advance(&mut self, parent: Option<u64>, head: Head) -> Verdict {
        // A reader that lacks history cannot judge parents.
        if self.gapped || parent != self.head_offset() {
            return Verdict::Conflict;
        }
        self.head = Some(head);
        Verdict::Accepted
    }

    /// Notes that the log's oldest record is now at `first` and repairs a gap
    /// from a snapshot among `retained`, the records from `first` on.
    pub fn restore<'a>(
        &mut self,
        first: u64,
        retained: impl Iterator<Item = (u64, &'a str)> + Clone,
    ) -> Verdict {
        if self.next < first {
            self.gapped = true;
        }
        if !self.gapped {
            return Verdict::Ignored;
        }
        let Some(snapshot) = retained.clone().filter_map(usable_snapshot(first)).last() else {
            return Verdict::Ignored;
        };
        let mut fold = snapshot;
        for (offset, text) in retained {
            fold.apply(offset, text);
        }
        self.adopt(&fold)
    }

    /// Applies one answer of the log: `records`, of which the oldest that the
    /// log still has is at `first`. Returns what was found in it.
    pub fn apply_page<'a>(
        &mut self,
        first: u64,
        records: impl Iterator<Item = (u64, &'a str)> + Clone,
    ) -> PageNews {
        let before = self.head_offset();
        let restored = self.restore(first, records.clone()) == Verdict::Restored;
        let mut snapshot = None;
        for (offset, text) in records {
            if self.apply(offset, text) == Verdict::Snapshot {
                snapshot = Some(offset);
            }
        }
        PageNews { moved: self.head_offset() != before, restored, snapshot }
    }

    /// Takes over another reader's state if it is ahead.
    pub fn adopt(&mut self, other: &Fold) -> Verdict {
        let ahead = other.head_offset() >= self.head_offset();
        let repairs = self.gapped && other.next >= self.next;
        if other.gapped || !ahead || !(repairs || other.next > self.next) {
            return Verdict::Ignored;
        }
        *self = other.clone();
        Verdict::Restored
    }

    /// Returns the offset of the head.
    pub fn head_offset(&self) -> Option<u64> {
        self.head.as_ref().map(|head| head.offset)
    }

    /// Makes a snapshot record; `None` if the reader is unsure of the head.
    pub fn to_snapshot(&self, id: String) -> Option<Record> {
        let head = self.head.clone().filter(|_| !self.gapped)?;
        Some(Record { id, change: Change::Snapshot { next: self.next, head } })
    }
}

fn usable_snapshot<'a>(first: u64) -> impl FnMut((u64, &'a str)) -> Option<Fold> + Clone {
    move |(_, text)| match Record::from_json(text)?.change {
        // Records between `next` and the snapshot must still be readable.
        Change::Snapshot { next, head } if next >= first => {
            Some(Fold { next, head: Some(head), gapped: false })
        }
        _ => None,
    }
}

/// The configuration that a router acts on: the last head it could parse.
#[derive(Debug, Default)]
pub struct InForce {
    current: Option<Active>,
    fault: Option<(u64, ConfigError)>,
}

/// A parsed configuration with its preset.
#[derive(Debug, Clone)]
pub struct Active {
    /// Offset of the head that the configuration came from.
    pub offset: u64,
    /// The configuration.
    pub config: Rc<Config>,
    /// The preset in force.
    pub preset: PresetName,
}

impl InForce {
    /// Puts `head` in force; a head that does not parse is reported by
    /// [`InForce::fault`] and leaves the last configuration in force.
    pub fn follow(&mut self, head: &Head) -> bool {
        if self.current.as_ref().is_some_and(|active| active.offset >= head.offset) {
            return false;
        }
        match Config::from_yaml(&head.text) {
            Ok(config) => {
                let config = Rc::new(config);
                self.current = Some(Active { offset: head.offset, config, preset: head.preset });
                self.fault = None;
                true
            }
            Err(err) => {
                self.fault = Some((head.offset, err));
                false
            }
        }
    }

    /// Returns the configuration in force.
    pub fn current(&self) -> Option<&Active> {
        self.current.as_ref()
    }

    /// Returns the accepted head that could not be put in force, and why.
    pub fn fault(&self) -> Option<&(u64, ConfigError)> {
        self.fault.as_ref()
    }
}
