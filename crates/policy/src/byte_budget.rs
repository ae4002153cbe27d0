//! The budget of bytes that a gateway holds for its clients, and of their connections.
//!
//! Everything that is held belongs to a client's connection. A part of the budget is open to
//! small holdings only, and a workspace may take a part of the rest, so that a crowd that sends
//! much leaves room for ordinary requests. When there is no room, the connection gives way that
//! has made no progress for the longest time; what an endpoint works on never does.

use std::collections::{BTreeMap, HashMap};

use mimosaledge_core::{Millis, Name};

use crate::memory_limits::MemoryLimits;

/// Number of bytes that count as progress.
const PROGRESS_BYTES: usize = 4_096;

/// Identifies a client's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(u64);

/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// No request, or a part of a head, has been received.
    Waiting,
    /// The body of a request is being received.
    Receiving,
    /// The request is being served.
    Working,
    /// A response waits for the client to read it.
    Sending,
}

/// A connection that has to give way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Victim {
    /// The connection.
    pub id: ConnectionId,
    /// What it does; one that is [`Stage::Working`] gives way after its response.
    pub stage: Stage,
}

/// There is no room, and nobody who would have to give way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoRoom;

/// What is held for a connection.
#[derive(Debug)]
struct Holding {
    /// Whether another gateway has opened the connection.
    is_gateway: bool,
    workspace: Option<Name>,
    stage: Stage,
    bytes: usize,
    progress_at: Millis,
    /// Bytes received since then.
    bytes_since: usize,
    /// Whether it gives way, so that it does not count any more.
    is_leaving: bool,
    /// Whether it gives way after its response.
    is_last: bool,
}

/// The budget of bytes.
#[derive(Debug)]
pub struct ByteBudget {
    limits: MemoryLimits,
    holdings: BTreeMap<ConnectionId, Holding>,
    next_id: u64,
    /// Number of connections that count.
    count: usize,
    total: usize,
    /// Bytes beyond the small parts of holdings.
    large: usize,
    /// The same, by workspace.
    large_by_workspace: HashMap<Name, usize>,
}

/// Which connections may give way.
#[derive(Debug, Clone, Copy)]
enum Victims<'a> {
    /// Any.
    All,
    /// Those that hold more than small requests do.
    Large,
    /// Those of them that belong to a workspace, or to none.
    LargeOf(Option<&'a Name>),
}

impl ByteBudget {
    /// Creates a budget of which nothing is used.
    pub fn new(limits: MemoryLimits) -> ByteBudget {
        ByteBudget {
            limits,
            holdings: BTreeMap::new(),
            next_id: 0,
            count: 0,
            total: 0,
            large: 0,
            large_by_workspace: HashMap::new(),
        }
    }

    /// Returns the limits.
    pub fn limits(&self) -> &MemoryLimits {
        &self.limits
    }

    /// Returns the number of bytes held.
    pub fn held_bytes(&self) -> usize {
        self.total
    }

    /// Returns the number of connections.
    pub fn connections(&self) -> usize {
        self.count
    }

    /// Adds a connection, of a client or, if `is_gateway`, of another gateway; appends those
    /// that give way to `victims`.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room for another connection; the oldest one then gives
    /// way after its response, so that connections that are always busy do not keep others out.
    pub fn open(
        &mut self,
        is_gateway: bool,
        now: Millis,
        victims: &mut Vec<Victim>,
    ) -> Result<ConnectionId, NoRoom> {
        let reserved = if is_gateway { self.limits.other_connections } else { 0 };
        let max_count = self.limits.connections + reserved;
        let id = ConnectionId(self.next_id);
        let bytes = self.limits.connection_bytes;
        let room = self.make_room(id, Victims::All, now, victims, |budget| {
            budget.count < max_count && budget.total + bytes <= budget.limits.total_bytes
        });
        if room.is_err() {
            victims.extend(self.find_last());
        }
        room?;
        self.next_id += 1;
        let holding = Holding {
            is_gateway,
            workspace: None,
            stage: Stage::Waiting,
            bytes,
            progress_at: now,
            bytes_since: 0,
            is_leaving: false,
            is_last: false,
        };
        self.count_in(&holding);
        self.holdings.insert(id, holding);
        Ok(id)
    }

    /// Removes a connection.
    pub fn close(&mut self, id: ConnectionId) {
        let Some(holding) = self.holdings.remove(&id) else { return };
        if !holding.is_leaving {
            self.count_out(&holding);
        }
    }

    /// Sets the workspace that a connection's request belongs to.
    pub fn set_workspace(&mut self, id: ConnectionId, workspace: Option<Name>) {
        self.update(id, |it| it.workspace = workspace);
    }

    /// Records what a connection does; returns whether it had to give way. It counts again.
    pub fn set_stage(&mut self, id: ConnectionId, stage: Stage, now: Millis) -> bool {
        let was_leaving = self.holdings.get(&id).is_some_and(|it| it.is_leaving);
        if let Some(holding) = self.holdings.get_mut(&id) {
            holding.stage = stage;
            holding.progress_at = now;
            holding.bytes_since = 0;
        }
        if was_leaving {
            self.set_leaving(id, false);
        }
        was_leaving
    }

    /// Records that `bytes` have been received from a client.
    pub fn record_progress(&mut self, id: ConnectionId, bytes: usize, now: Millis) {
        let Some(holding) = self.holdings.get_mut(&id) else { return };
        holding.bytes_since += bytes;
        if holding.bytes_since >= PROGRESS_BYTES {
            holding.bytes_since = 0;
            holding.progress_at = now;
        }
    }

    /// Adds `bytes` to what is held for a connection; appends those that give way to `victims`.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room; nothing is added then.
    pub fn grow(
        &mut self,
        id: ConnectionId,
        bytes: usize,
        now: Millis,
        victims: &mut Vec<Victim>,
    ) -> Result<(), NoRoom> {
        let holding = self.holdings.get(&id).filter(|it| !it.is_leaving).ok_or(NoRoom)?;
        let workspace = holding.workspace.clone();
        let (small, first) = (self.limits.small_bytes, victims.len());
        let large = large_part(holding.bytes + bytes, small) - large_part(holding.bytes, small);
        let result = self.make_large_room(id, workspace.as_ref(), large, now, victims);
        let result = result.and_then(|()| {
            self.make_room(id, Victims::All, now, victims, |budget| {
                budget.total + bytes <= budget.limits.total_bytes
            })
        });
        match result {
            Ok(()) => self.update(id, |it| it.bytes += bytes),
            Err(NoRoom) => self.restore(victims, first),
        }
        result
    }

    /// Takes `bytes` from what is held for a connection.
    pub fn shrink(&mut self, id: ConnectionId, bytes: usize) {
        self.update(id, |it| it.bytes -= bytes);
    }

    /// Lets connections with large holdings give way until `large` more bytes of them fit, of
    /// the workspace and in all.
    fn make_large_room(
        &mut self,
        id: ConnectionId,
        workspace: Option<&Name>,
        large: usize,
        now: Millis,
        victims: &mut Vec<Victim>,
    ) -> Result<(), NoRoom> {
        if large == 0 {
            return Ok(());
        }
        self.make_room(id, Victims::LargeOf(workspace), now, victims, |budget| {
            budget.large_of(workspace) + large <= budget.limits.workspace_bytes
        })?;
        self.make_room(id, Victims::Large, now, victims, |budget| {
            budget.large + large <= budget.limits.large_bytes
        })
    }

    /// Lets connections of `kind` give way until `fits` holds.
    fn make_room(
        &mut self,
        id: ConnectionId,
        kind: Victims<'_>,
        now: Millis,
        victims: &mut Vec<Victim>,
        fits: impl Fn(&ByteBudget) -> bool,
    ) -> Result<(), NoRoom> {
        let first = victims.len();
        while !fits(self) {
            let Some(victim) = self.find_victim(id, kind, now) else {
                self.restore(victims, first);
                return Err(NoRoom);
            };
            self.set_leaving(victim.id, true);
            victims.push(victim);
        }
        Ok(())
    }

    /// Returns the connection that has made no progress for the longest time.
    fn find_victim(&self, id: ConnectionId, kind: Victims<'_>, now: Millis) -> Option<Victim> {
        let is_stalled = |it: &Holding| {
            it.stage != Stage::Working
                && !it.is_leaving
                // It may be about to carry a request.
                && !(it.is_gateway && it.stage == Stage::Waiting)
                && now.since(it.progress_at) >= self.limits.stall_ms
                && self.frees_what_is_short(it, kind)
        };
        let stalled = self.holdings.iter().filter(|(other, it)| **other != id && is_stalled(it));
        let (id, holding) = stalled.min_by_key(|(_, it)| it.progress_at)?;
        Some(Victim { id: *id, stage: holding.stage })
    }

    /// Returns whether it helps if this connection gives way.
    fn frees_what_is_short(&self, holding: &Holding, kind: Victims<'_>) -> bool {
        let is_large = || large_part(holding.bytes, self.limits.small_bytes) > 0;
        match kind {
            Victims::All => true,
            Victims::Large => is_large(),
            Victims::LargeOf(workspace) => is_large() && holding.workspace.as_ref() == workspace,
        }
    }

    /// Returns the oldest connection that works on a request, if it is not its last one yet.
    fn find_last(&mut self) -> Option<Victim> {
        let is_busy = |it: &Holding| it.stage == Stage::Working && !it.is_last;
        let (id, holding) = self.holdings.iter_mut().find(|(_, it)| is_busy(it))?;
        holding.is_last = true;
        Some(Victim { id: *id, stage: holding.stage })
    }

    fn large_of(&self, workspace: Option<&Name>) -> usize {
        workspace.and_then(|it| self.large_by_workspace.get(it)).copied().unwrap_or_default()
    }

    /// Lets the victims after the `first` ones stay.
    fn restore(&mut self, victims: &mut Vec<Victim>, first: usize) {
        for victim in victims.drain(first..) {
            self.set_leaving(victim.id, false);
        }
    }

    fn set_leaving(&mut self, id: ConnectionId, is_leaving: bool) {
        self.update(id, |it| it.is_leaving = is_leaving);
    }

    /// Changes a holding and what counts of it.
    fn update(&mut self, id: ConnectionId, change: impl FnOnce(&mut Holding)) {
        let Some(mut holding) = self.holdings.remove(&id) else { return };
        if !holding.is_leaving {
            self.count_out(&holding);
        }
        change(&mut holding);
        if !holding.is_leaving {
            self.count_in(&holding);
        }
        self.holdings.insert(id, holding);
    }

    fn count_in(&mut self, holding: &Holding) {
        let large = large_part(holding.bytes, self.limits.small_bytes);
        self.count += 1;
        self.total += holding.bytes;
        self.large += large;
        if let Some(workspace) = holding.workspace.as_ref().filter(|_| large > 0) {
            *self.large_by_workspace.entry(workspace.clone()).or_default() += large;
        }
    }

    fn count_out(&mut self, holding: &Holding) {
        let large = large_part(holding.bytes, self.limits.small_bytes);
        self.count -= 1;
        self.total -= holding.bytes;
        self.large -= large;
        let Some(workspace) = holding.workspace.as_ref().filter(|_| large > 0) else { return };
        if let Some(bytes) = self.large_by_workspace.get_mut(workspace) {
            *bytes -= large;
            if *bytes == 0 {
                self.large_by_workspace.remove(workspace);
            }
        }
    }
}

/// Returns the part of a holding beyond what counts as small.
fn large_part(bytes: usize, small: usize) -> usize {
    bytes.saturating_sub(small)
}
