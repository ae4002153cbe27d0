//! Endpoints that may be used.
//!
//! The platform's list drops an entry when its endpoint has left or fallen
//! silent, but an outage of the list drops entries of live endpoints as well.
//! An entry that goes while the list is away, or shortly after its return, is
//! therefore held for [`RETURN_GRACE_MS`] before it counts as gone.

use std::collections::{HashMap, HashSet};

use mimosaledge_core::{Millis, Name, hash::hash64};
use serde::{Deserialize, Serialize};

use crate::endpoint::{Endpoint, EndpointState};

/// Time after the list's return within which live endpoints are listed again,
/// in milliseconds.
pub const RETURN_GRACE_MS: u64 = 2_300;

/// Silence of the list after which entries of live endpoints may have lapsed,
/// in milliseconds.
pub const LAPSE_MS: u64 = 2_000;

/// A change of the set of endpoints.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// An endpoint is new, or its entry or incarnation has changed.
    Listed(Endpoint),
    /// An entry has gone or cannot be used.
    Gone(Name),
}

impl Change {
    /// Returns the endpoint if it is listed.
    pub fn into_listed(self) -> Option<Endpoint> {
        match self {
            Change::Listed(endpoint) => Some(endpoint),
            Change::Gone(_) => None,
        }
    }
}

/// The endpoints of all services.
#[derive(Debug, Default)]
pub struct Endpoints {
    listed: HashMap<Name, Endpoint>,
    held: HashMap<Name, Millis>,
    away: bool,
    read: bool,
    returned: Option<Millis>,
    offset: u64,
}

impl Endpoints {
    /// Applies one change; returns whether anything changed.
    pub fn apply(&mut self, change: Change, now: Millis) -> bool {
        match change {
            Change::Listed(endpoint) => {
                self.held.remove(&endpoint.id);
                let before = self.listed.insert(endpoint.id.clone(), endpoint.clone());
                before.as_ref() != Some(&endpoint)
            }
            Change::Gone(id) => self.drop_entry(&id, now),
        }
    }

    /// Replaces the whole list by `entries`.
    pub fn replace(&mut self, entries: Vec<Endpoint>, now: Millis) {
        let present: HashSet<&Name> = entries.iter().map(|it| &it.id).collect();
        let missing: Vec<Name> =
            self.listed.keys().filter(|id| !present.contains(id)).cloned().collect();
        for id in missing {
            self.drop_entry(&id, now);
        }
        for endpoint in entries {
            self.apply(Change::Listed(endpoint), now);
        }
    }

    /// Takes over the list of another gateway, which has held what is to be
    /// held.
    pub fn adopt(&mut self, entries: Vec<Endpoint>, offset: u64) {
        self.held.clear();
        self.offset = self.offset.max(offset);
        self.listed = entries.into_iter().map(|it| (it.id.clone(), it)).collect();
    }

    /// Takes over changes of another gateway's list, which has held what is to
    /// be held.
    pub fn adopt_changes(&mut self, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::Listed(endpoint) => {
                    self.held.remove(&endpoint.id);
                    self.listed.insert(endpoint.id.clone(), endpoint);
                }
                Change::Gone(id) => {
                    self.held.remove(&id);
                    self.listed.remove(&id);
                }
            }
        }
    }

    /// Returns a number that differs between lists that differ.
    pub fn digest(&self) -> u64 {
        self.listed.values().fold(0, |sum, it| sum ^ entry_digest(it))
    }

    /// Returns up to which offset the list is settled: what was read beyond it
    /// has put entries on hold.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Notes that the list is the one at `offset`, as read or as another gateway
    /// with the same list says.
    ///
    /// A gateway that holds entries must itself read the records that list them
    /// again, so it stays where it is until then.
    pub fn settle(&mut self, offset: u64) {
        if self.held.is_empty() {
            self.offset = self.offset.max(offset);
        }
    }

    /// Returns whether the list cannot be read, or has not been read yet.
    pub fn is_away(&self) -> bool {
        self.away || !self.read
    }

    /// Notes that the list cannot be read.
    pub fn list_lost(&mut self) {
        self.away = true;
    }

    /// Notes that the list was read, `silence_ms` after there was last word of
    /// it; if that was long enough for live endpoints' entries to lapse, they
    /// are held from now on.
    pub fn list_returned(&mut self, silence_ms: u64, now: Millis) {
        self.away = false;
        if self.read && silence_ms >= LAPSE_MS {
            self.returned = Some(now);
        }
        self.read = true;
    }

    /// Drops held entries whose time is over; returns their identifiers.
    pub fn expire(&mut self, now: Millis) -> Vec<Name> {
        if self.is_grace(now) {
            return Vec::new();
        }
        let ended: Vec<Name> = self.held.keys().cloned().collect();
        for id in &ended {
            self.held.remove(id);
            self.listed.remove(id);
        }
        ended
    }

    /// Returns all listed endpoints, held ones too.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.listed.values()
    }

    /// Returns an endpoint by its identifier.
    pub fn get(&self, id: &str) -> Option<&Endpoint> {
        self.listed.get(id)
    }

    /// Returns whether any endpoint takes new work.
    pub fn any_ready(&self) -> bool {
        self.listed.values().any(|it| it.state == EndpointState::Ready)
    }

    fn drop_entry(&mut self, id: &Name, now: Millis) -> bool {
        let Some(endpoint) = self.listed.get(id) else {
            return false;
        };
        if endpoint.state == EndpointState::Ready && self.is_grace(now) {
            self.held.entry(id.clone()).or_insert(now);
            return false;
        }
        self.held.remove(id);
        self.listed.remove(id);
        true
    }

    fn is_grace(&self, now: Millis) -> bool {
        self.returned.is_some_and(|at| now.since(at) < RETURN_GRACE_MS)
    }
}

fn entry_digest(it: &Endpoint) -> u64 {
    let born = it.born.unwrap_or_default();
    let text = format!(
        "{}\n{born}\n{}\n{}\n{}\n{}\n{:?}",
        it.id, it.service, it.address, it.data_centre, it.slots, it.state
    );
    hash64(text.as_bytes())
}
