//! Evacuated data centres, whose endpoints get no requests.
//!
//! Operators evacuate a data centre, and take it back, by a record in the topic of the
//! configuration. A gateway reads these records itself, or hears from another gateway which
//! data centres are evacuated as of a position in the log; an earlier position than its own
//! changes nothing.
//!
//! A store that is restored from an older copy may lack the latest records. What was in force
//! therefore stays in force for [`RECOVERY_GRACE_MS`], in which operators write it again;
//! records of the restored store itself take effect at once.

use std::collections::{BTreeMap, BTreeSet};

use mimosaledge_core::{Millis, hash::hash32};

use crate::{endpoints::RECOVERY_GRACE_MS, position::Position};

/// Number by which gateways name a data centre to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DataCentre(pub u32);

impl DataCentre {
    /// Returns the number of the data centre `name`.
    pub fn from_name(name: &str) -> DataCentre {
        DataCentre(hash32(name.as_bytes()))
    }
}

/// A data centre that is evacuated, or taken back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evacuation {
    /// The data centre.
    pub data_centre: DataCentre,
    /// Whether it is evacuated from now on.
    pub in_force: bool,
}

/// The evacuated data centres as of a position in the log.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuationList {
    /// The position up to which the log was read.
    pub position: Position,
    /// The data centres.
    pub data_centres: BTreeSet<DataCentre>,
}

/// The list of a store that was restored, which is not in force yet.
#[derive(Debug, Clone)]
struct Restored {
    listed: BTreeSet<DataCentre>,
    in_force_at: Millis,
}

/// The evacuations that one gateway knows.
#[derive(Debug, Clone, Default)]
pub struct Evacuations {
    position: Position,
    /// The evacuated data centres, and when this gateway learned of each.
    since: BTreeMap<DataCentre, Millis>,
    restored: Option<Restored>,
    /// Whether a data centre was evacuated since this gateway started.
    has_any_been: bool,
}

impl Evacuations {
    /// Applies the records that one read of the log has returned, oldest first, up to
    /// `position`; returns what has changed.
    pub fn apply_records(
        &mut self,
        records: &[Evacuation],
        position: Position,
        now: Millis,
    ) -> Vec<Evacuation> {
        if position < self.position {
            return Vec::new();
        }
        self.position = position;
        let mut in_force = self.in_force();
        for record in records {
            apply(&mut in_force, *record);
            if let Some(restored) = &mut self.restored {
                apply(&mut restored.listed, *record);
            }
        }
        self.put_in_force(&in_force, now)
    }

    /// Applies the list that the store or another gateway has; returns what has changed.
    pub fn apply_list(&mut self, list: EvacuationList, now: Millis) -> Vec<Evacuation> {
        let EvacuationList { position, data_centres: listed } = list;
        if position <= self.position {
            return Vec::new();
        }
        let before = std::mem::replace(&mut self.position, position);
        if before == Position::default() {
            return self.put_in_force(&listed, now);
        }
        if position.era > before.era {
            self.restored = Some(Restored { listed, in_force_at: now + RECOVERY_GRACE_MS });
            return Vec::new();
        }
        let Some(restored) = &mut self.restored else {
            return self.put_in_force(&listed, now);
        };
        // What differs between two lists of the restored store was written there.
        let written = differences(&restored.listed, &listed);
        restored.listed = listed;
        let mut in_force = self.in_force();
        written.into_iter().for_each(|it| apply(&mut in_force, it));
        self.put_in_force(&in_force, now)
    }

    /// Puts the list of a restored store in force when its time has come; returns what has
    /// changed.
    pub fn settle(&mut self, now: Millis) -> Vec<Evacuation> {
        match self.restored.take_if(|it| now >= it.in_force_at) {
            Some(restored) => self.put_in_force(&restored.listed, now),
            None => Vec::new(),
        }
    }

    /// Returns whether the endpoints of a data centre get no requests.
    pub fn is_evacuated(&self, data_centre: DataCentre) -> bool {
        self.since.contains_key(&data_centre)
    }

    /// Returns whether any data centre is evacuated.
    pub fn any(&self) -> bool {
        !self.since.is_empty()
    }

    /// Iterates over the evacuated data centres, with the times at which this gateway learned
    /// of each.
    pub fn iter(&self) -> impl Iterator<Item = (DataCentre, Millis)> {
        self.since.iter().map(|(data_centre, since)| (*data_centre, *since))
    }

    /// Returns the position up to which the evacuations are known.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Returns the list for other gateways, or `None` if no data centre was evacuated since
    /// this gateway started.
    ///
    /// What only outlives a restored store is not listed; each gateway keeps that itself.
    pub fn to_list(&self) -> Option<EvacuationList> {
        let data_centres = match &self.restored {
            Some(restored) => restored.listed.clone(),
            None => self.in_force(),
        };
        self.has_any_been.then_some(EvacuationList { position: self.position, data_centres })
    }

    fn in_force(&self) -> BTreeSet<DataCentre> {
        self.since.keys().copied().collect()
    }

    fn put_in_force(&mut self, list: &BTreeSet<DataCentre>, now: Millis) -> Vec<Evacuation> {
        let changes = differences(&self.in_force(), list);
        for change in &changes {
            if change.in_force {
                self.since.insert(change.data_centre, now);
            } else {
                self.since.remove(&change.data_centre);
            }
        }
        self.has_any_been |= self.any();
        changes
    }
}

fn apply(list: &mut BTreeSet<DataCentre>, change: Evacuation) {
    match change.in_force {
        true => list.insert(change.data_centre),
        false => list.remove(&change.data_centre),
    };
}

/// Returns the changes that lead from one list to another.
fn differences(from: &BTreeSet<DataCentre>, to: &BTreeSet<DataCentre>) -> Vec<Evacuation> {
    let taken_back = from.difference(to).map(|it| (*it, false));
    let evacuated = to.difference(from).map(|it| (*it, true));
    let changes = taken_back.chain(evacuated);
    changes.map(|(data_centre, in_force)| Evacuation { data_centre, in_force }).collect()
}
