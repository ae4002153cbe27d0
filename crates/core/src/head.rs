//! Replicated state machine that derives the accepted configuration from the log.
//!
//! Every reader applies the same records in the same order. A publish or switch
//! is accepted only if its parent is the head at that point of the log
//! (optimistic concurrency control). If two operators publish changes with the
//! same parent, every router accepts the first one in the log, and a record that
//! is appended twice takes effect once.

use std::{rc::Rc, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    config::{Config, ConfigError, PresetName},
    record::{Change, Record},
};

/// The configuration head: the accepted configuration and preset.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// Log offset of the record that last changed the head.
    pub offset: u64,
    /// Identifier of that record.
    pub id: String,
    /// Accepted configuration as YAML.
    pub text: Arc<str>,
    /// Accepted preset.
    pub preset: PresetName,
}

/// Result of applying a record, a snapshot or the state of another replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The record became the new head.
    Accepted,
    /// The record's parent was not the head, or the replica has a gap and cannot
    /// check the parent.
    Conflict,
    /// The state was replaced by a newer or gap-free one.
    Restored,
    /// The record is a snapshot of the head.
    Snapshot,
    /// Nothing changed.
    Ignored,
}

/// Result of applying one page of log records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PageSummary {
    /// Whether the head changed.
    pub head_changed: bool,
    /// Whether a gap was repaired from a snapshot.
    pub restored: bool,
    /// Offset of the newest snapshot in the page.
    pub snapshot: Option<u64>,
}

/// A replica of the head: a reader's position in the log and the head that
/// follows from the records before it.
///
/// The offset of the head never decreases.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct HeadReplica {
    /// Offset of the next record to read.
    pub next: u64,
    /// The head; `None` until a record is accepted.
    pub head: Option<Head>,
    /// Whether the log dropped records before they were read, so that the head
    /// may be stale.
    pub gapped: bool,
}

impl HeadReplica {
    /// Applies the record at `offset`.
    ///
    /// Records below `next` have been applied already and are ignored.
    pub fn apply(&mut self, offset: u64, text: &str) -> ApplyOutcome {
        if offset < self.next {
            return ApplyOutcome::Ignored;
        }
        if offset > self.next {
            self.gapped = true;
        }
        self.next = offset + 1;
        match Record::from_json(text) {
            Some(record) => self.apply_record(offset, record),
            None => ApplyOutcome::Ignored,
        }
    }

    fn apply_record(&mut self, offset: u64, record: Record) -> ApplyOutcome {
        match record.change {
            Change::Publish { parent, text } => {
                let preset = self.head.as_ref().map_or(PresetName::Ordinary, |head| head.preset);
                self.try_advance(parent, Head { offset, id: record.id, text, preset })
            }
            Change::Switch { parent, preset } => {
                let Some(head) = &self.head else { return ApplyOutcome::Conflict };
                let text = Arc::clone(&head.text);
                self.try_advance(Some(parent), Head { offset, id: record.id, text, preset })
            }
            Change::Snapshot { .. } => ApplyOutcome::Snapshot,
        }
    }

    fn try_advance(&mut self, parent: Option<u64>, head: Head) -> ApplyOutcome {
        // With a gap the true head is unknown, so no parent can be checked.
        if self.gapped || parent != self.head_offset() {
            return ApplyOutcome::Conflict;
        }
        self.head = Some(head);
        ApplyOutcome::Accepted
    }

    /// Detects a gap and repairs it from the last usable snapshot among the
    /// records in `retained`; `first` is the offset of the oldest record that the
    /// log still holds.
    pub fn repair_gap<'a>(
        &mut self,
        first: u64,
        retained: impl Iterator<Item = (u64, &'a str)> + Clone,
    ) -> ApplyOutcome {
        if self.next < first {
            self.gapped = true;
        }
        if !self.gapped {
            return ApplyOutcome::Ignored;
        }
        let Some(snapshot) = retained.clone().filter_map(decode_usable_snapshot(first)).last()
        else {
            return ApplyOutcome::Ignored;
        };
        let mut replica = snapshot;
        for (offset, text) in retained {
            replica.apply(offset, text);
        }
        self.adopt(&replica)
    }

    /// Applies a page of `records` from a log whose oldest retained record is at
    /// `first`.
    pub fn apply_page<'a>(
        &mut self,
        first: u64,
        records: impl Iterator<Item = (u64, &'a str)> + Clone,
    ) -> PageSummary {
        let before = self.head_offset();
        let restored = self.repair_gap(first, records.clone()) == ApplyOutcome::Restored;
        let mut snapshot = None;
        for (offset, text) in records {
            if self.apply(offset, text) == ApplyOutcome::Snapshot {
                snapshot = Some(offset);
            }
        }
        PageSummary { head_changed: self.head_offset() != before, restored, snapshot }
    }

    /// Replaces this state by that of another replica that has no gap, has a head
    /// that is not older, and has read further; if this replica has a gap, it is
    /// enough that the other has read as far.
    pub fn adopt(&mut self, other: &HeadReplica) -> ApplyOutcome {
        let is_current = other.head_offset() >= self.head_offset();
        let repairs = self.gapped && other.next >= self.next;
        if other.gapped || !is_current || !(repairs || other.next > self.next) {
            return ApplyOutcome::Ignored;
        }
        *self = other.clone();
        ApplyOutcome::Restored
    }

    /// Returns the log offset of the head.
    pub fn head_offset(&self) -> Option<u64> {
        self.head.as_ref().map(|head| head.offset)
    }

    /// Creates a snapshot record; returns `None` if there is no head or it may be
    /// stale because of a gap.
    pub fn to_snapshot(&self, id: String) -> Option<Record> {
        let head = self.head.clone().filter(|_| !self.gapped)?;
        Some(Record { id, change: Change::Snapshot { next: self.next, head } })
    }
}

/// Returns a function that decodes a snapshot from which every later record can
/// still be read.
fn decode_usable_snapshot<'a>(
    first: u64,
) -> impl FnMut((u64, &'a str)) -> Option<HeadReplica> + Clone {
    move |(_, text)| match Record::from_json(text)?.change {
        // The log must still hold the records between `next` and the snapshot.
        Change::Snapshot { next, head } if next >= first => {
            Some(HeadReplica { next, head: Some(head), gapped: false })
        }
        _ => None,
    }
}

/// The active configuration: the last accepted head that could be parsed.
#[derive(Debug, Default)]
pub struct ConfigState {
    active: Option<ActiveConfig>,
    error: Option<(u64, ConfigError)>,
}

/// A parsed configuration and its preset.
#[derive(Debug, Clone)]
pub struct ActiveConfig {
    /// Log offset of the head that the configuration was parsed from.
    pub offset: u64,
    /// Parsed configuration.
    pub config: Rc<Config>,
    /// Active preset.
    pub preset: PresetName,
}

impl ConfigState {
    /// Makes `head` the active configuration if it is newer; returns whether it
    /// did.
    ///
    /// If the head does not parse, the previous configuration stays active and
    /// [`ConfigState::activation_error`] returns the error.
    pub fn activate(&mut self, head: &Head) -> bool {
        if self.active.as_ref().is_some_and(|active| active.offset >= head.offset) {
            return false;
        }
        match Config::from_yaml(&head.text) {
            Ok(config) => {
                let config = Rc::new(config);
                self.active =
                    Some(ActiveConfig { offset: head.offset, config, preset: head.preset });
                self.error = None;
                true
            }
            Err(err) => {
                self.error = Some((head.offset, err));
                false
            }
        }
    }

    /// Returns the active configuration.
    pub fn active(&self) -> Option<&ActiveConfig> {
        self.active.as_ref()
    }

    /// Returns the offset of the accepted head that could not be activated, and the
    /// error.
    pub fn activation_error(&self) -> Option<&(u64, ConfigError)> {
        self.error.as_ref()
    }
}
