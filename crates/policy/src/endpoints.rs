//! The set of endpoints that may receive requests.
//!
//! The platform's endpoint list removes an entry when its endpoint has left or
//! has stopped renewing it. During an outage of the list, live endpoints cannot
//! renew their entries, so these expire as well. The removal of a ready endpoint
//! that is read within [`RECOVERY_GRACE_MS`] after such an outage is therefore
//! deferred to the end of that time, and cancelled if the entry is listed again.
//!
//! A store that is restored from an older copy lists what was true some seconds
//! before. Drains and removals that the copy lacks stay in force until the log
//! lists the endpoint again, which a live endpoint does within the same time.

use std::collections::{HashMap, HashSet};

use mimosaledge_core::{Millis, Name, hash::hash64};
use serde::{Deserialize, Serialize};

use crate::{
    departures::Departures,
    endpoint::{Endpoint, EndpointState},
    position::Position,
};

/// Time after an outage of the list within which live endpoints are listed
/// again, in milliseconds.
pub const RECOVERY_GRACE_MS: u64 = 2_300;

/// Shortest outage of the list in which entries of live endpoints may expire,
/// in milliseconds.
pub const EXPIRY_OUTAGE_MS: u64 = 2_000;

/// A change of the endpoint list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// An endpoint is new, or its entry or incarnation has changed.
    Upsert(Endpoint),
    /// An entry was removed or cannot be used.
    Remove(Name),
}

impl Change {
    /// Returns the endpoint of an upsert.
    pub fn into_endpoint(self) -> Option<Endpoint> {
        match self {
            Change::Upsert(endpoint) => Some(endpoint),
            Change::Remove(_) => None,
        }
    }
}

/// The endpoints of all services.
#[derive(Debug, Default)]
pub struct Endpoints {
    entries: HashMap<Name, Endpoint>,
    /// Entries whose removal was read, but is deferred.
    deferred_removals: HashSet<Name>,
    /// Position up to which this gateway has itself read the list.
    read_position: Position,
    list_unavailable: bool,
    list_was_read: bool,
    /// End of the last outage in which entries of live endpoints may have expired.
    recovered_at: Option<Millis>,
    position: Position,
    /// When a list of a later era than `position` was first received from another
    /// gateway, and that era.
    era_seen: Option<(u64, Millis)>,
    departures: Departures,
}

impl Endpoints {
    /// Applies one change from the list; returns whether the set has changed.
    pub fn apply(&mut self, change: Change, now: Millis) -> bool {
        match change {
            Change::Upsert(endpoint) => {
                self.deferred_removals.remove(&endpoint.id);
                self.departures.forget(&endpoint.id);
                let previous = self.entries.insert(endpoint.id.clone(), endpoint.clone());
                previous.as_ref() != Some(&endpoint)
            }
            Change::Remove(id) => self.remove_or_defer(&id, now),
        }
    }

    /// Applies the changes that one read of the list has returned, up to `position`;
    /// returns those that have changed the set.
    ///
    /// `is_complete` says that the list ended there. Only then are deferred removals that
    /// are due completed, since later records may list the entries again.
    pub fn apply_read(
        &mut self,
        changes: Vec<Change>,
        position: Position,
        is_complete: bool,
        now: Millis,
    ) -> Vec<Change> {
        let mut applied: Vec<Change> =
            changes.into_iter().filter(|it| self.apply(it.clone(), now)).collect();
        if is_complete {
            applied.extend(self.expire(now).into_iter().map(Change::Remove));
        }
        self.advance_to(position);
        applied
    }

    /// Replaces the whole list with `entries`; returns the changes made.
    pub fn replace(&mut self, entries: Vec<Endpoint>, now: Millis) -> Vec<Change> {
        let present: HashSet<&Name> = entries.iter().map(|it| &it.id).collect();
        let missing: Vec<Name> =
            self.entries.keys().filter(|id| !present.contains(id)).cloned().collect();
        let removals = missing.into_iter().map(Change::Remove);
        let changes: Vec<Change> =
            removals.chain(entries.into_iter().map(Change::Upsert)).collect();
        changes.into_iter().filter(|it| self.apply(it.clone(), now)).collect()
    }

    /// Replaces the list with `entries` of a store that was restored from an older
    /// copy; returns the changes made.
    ///
    /// Endpoints that have registered since the copy was taken are missing from it,
    /// so that their removal is deferred.
    pub fn restore(&mut self, entries: Vec<Endpoint>, now: Millis) -> Vec<Change> {
        self.recovered_at = Some(now);
        let entries = self.keep_departures(entries, now);
        self.replace(entries, now)
    }

    /// Replaces the whole list with that of another gateway, which has already
    /// deferred the removals that need it.
    ///
    /// A list of a later era may come from a gateway that has not noticed a drain
    /// or removal before the store was restored. What this gateway has noticed
    /// stays in force for [`RECOVERY_GRACE_MS`], in which a live endpoint registers
    /// again, and the position does not advance.
    pub fn replace_from_peer(&mut self, entries: Vec<Endpoint>, position: Position, now: Millis) {
        let kept = if self.is_era_settled(position.era, now) {
            entries.clone()
        } else {
            self.keep_departures(entries.clone(), now)
        };
        if kept == entries {
            self.position = self.position.max(position);
        }
        self.deferred_removals.clear();
        let previous = std::mem::take(&mut self.entries);
        self.entries = kept.into_iter().map(|it| (it.id.clone(), it)).collect();
        for endpoint in previous.values().filter(|it| !self.entries.contains_key(&it.id)) {
            self.departures.record(endpoint, now);
        }
    }

    /// Returns whether lists of `era` need no check against known departures: the
    /// era is not new, or it was first seen [`RECOVERY_GRACE_MS`] ago.
    fn is_era_settled(&mut self, era: u64, now: Millis) -> bool {
        if era <= self.position.era || self.position == Position::default() {
            return true;
        }
        let since = match self.era_seen {
            Some((seen, at)) if seen == era => at,
            _ => now,
        };
        self.era_seen = Some((era, since));
        now.since(since) >= RECOVERY_GRACE_MS
    }

    /// Corrects a list from a restored store by the drains, removals and restarts that
    /// are known here: the copy that it was restored from may be older.
    fn keep_departures(&self, entries: Vec<Endpoint>, now: Millis) -> Vec<Endpoint> {
        let mut kept: Vec<Endpoint> =
            entries.into_iter().filter(|it| !self.departures.contains(it, now)).collect();
        for entry in &mut kept {
            let Some(known) = self.entries.get(&entry.id) else { continue };
            if known.started_ms > entry.started_ms {
                entry.clone_from(known);
            } else if known.started_ms == entry.started_ms && known.state == EndpointState::Draining
            {
                entry.state = EndpointState::Draining;
            }
        }
        kept
    }

    /// Applies changes from another gateway, which has already deferred the
    /// removals that need it.
    pub fn apply_from_peer(&mut self, changes: Vec<Change>, now: Millis) {
        for change in changes {
            match change {
                Change::Upsert(endpoint) => {
                    self.deferred_removals.remove(&endpoint.id);
                    self.departures.forget(&endpoint.id);
                    self.entries.insert(endpoint.id.clone(), endpoint);
                }
                Change::Remove(id) => self.remove(&id, now),
            }
        }
    }

    /// Returns a hash of the list, which does not depend on the order of
    /// entries.
    pub fn digest(&self) -> u64 {
        self.entries.values().fold(0, |sum, it| sum ^ entry_digest(it))
    }

    /// Returns the position in the platform's log up to which all records are
    /// applied; removals read beyond it are still deferred.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Returns the digest that the list would have after `changes`.
    pub fn digest_after(&self, changes: &[Change]) -> u64 {
        let mut changed: HashMap<&Name, u64> = HashMap::new();
        for change in changes {
            match change {
                Change::Upsert(it) => changed.insert(&it.id, entry_digest(it)),
                Change::Remove(id) => changed.insert(id, 0),
            };
        }
        let before = |id: &Name| self.entries.get(id).map_or(0, entry_digest);
        changed.iter().fold(self.digest(), |sum, (id, after)| sum ^ before(id) ^ after)
    }

    /// Advances the list to `position`, up to which it was read.
    ///
    /// The position does not advance while removals are deferred, so that the list at one
    /// position is the same at all gateways.
    pub fn advance_to(&mut self, position: Position) {
        self.read_position = self.read_position.max(position);
        if self.deferred_removals.is_empty() {
            self.position = self.position.max(position);
        }
    }

    /// Records that the list at `position` is this one, as a gateway with the same list has
    /// reported: entries whose removal was read before that position are listed again.
    pub fn confirm_at(&mut self, position: Position) {
        if position >= self.read_position {
            self.deferred_removals.clear();
        }
        if self.deferred_removals.is_empty() {
            self.position = self.position.max(position);
        }
    }

    /// Returns whether the list cannot be read, or has not been read yet.
    pub fn is_list_unavailable(&self) -> bool {
        self.list_unavailable || !self.list_was_read
    }

    /// Records that the list cannot be read.
    pub fn mark_list_unavailable(&mut self) {
        self.list_unavailable = true;
    }

    /// Records that the list was read, `outage_ms` after it was last known to be
    /// current.
    ///
    /// If entries of live endpoints may have expired in that time, the grace
    /// period for removals begins.
    pub fn mark_list_available(&mut self, outage_ms: u64, now: Millis) {
        self.list_unavailable = false;
        if self.list_was_read && outage_ms >= EXPIRY_OUTAGE_MS {
            self.recovered_at = Some(now);
        }
        self.list_was_read = true;
    }

    /// Completes deferred removals once the grace period is over; returns the
    /// identifiers of the removed entries.
    pub fn expire(&mut self, now: Millis) -> Vec<Name> {
        if self.in_grace_period(now) {
            return Vec::new();
        }
        let expired: Vec<Name> = self.deferred_removals.iter().cloned().collect();
        for id in &expired {
            self.remove(id, now);
        }
        expired
    }

    /// Iterates over all endpoints, including those whose removal is deferred.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.entries.values()
    }

    /// Returns an endpoint by its identifier.
    pub fn get(&self, id: &str) -> Option<&Endpoint> {
        self.entries.get(id)
    }

    /// Returns whether any endpoint accepts new requests.
    pub fn any_ready(&self) -> bool {
        self.entries.values().any(|it| it.state == EndpointState::Ready)
    }

    fn remove_or_defer(&mut self, id: &Name, now: Millis) -> bool {
        let Some(endpoint) = self.entries.get(id) else {
            return false;
        };
        if endpoint.state == EndpointState::Ready && self.in_grace_period(now) {
            self.deferred_removals.insert(id.clone());
            return false;
        }
        self.remove(id, now);
        true
    }

    fn remove(&mut self, id: &Name, now: Millis) {
        self.deferred_removals.remove(id);
        if let Some(endpoint) = self.entries.remove(id) {
            self.departures.record(&endpoint, now);
        }
    }

    fn in_grace_period(&self, now: Millis) -> bool {
        self.recovered_at.is_some_and(|at| now.since(at) < RECOVERY_GRACE_MS)
    }
}

fn entry_digest(it: &Endpoint) -> u64 {
    let started_ms = it.started_ms.unwrap_or_default();
    let text = format!(
        "{}\n{started_ms}\n{}\n{}\n{}\n{}\n{}\n{:?}",
        it.id, it.service, it.address, it.build, it.data_centre, it.slots, it.state
    );
    hash64(text.as_bytes())
}
