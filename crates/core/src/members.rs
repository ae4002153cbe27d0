//! Gossip-based membership and failure detection among routers.
//!
//! Each router keeps a table with the newest heartbeat of every other router. A
//! router whose heartbeats stop arriving counts as dead after a timeout. The
//! table also assigns idempotency keys and endpoints to routers by rendezvous
//! hashing.

use std::{
    collections::{BTreeMap, HashSet},
    net::SocketAddr,
};

use serde::{Deserialize, Serialize};

use crate::{
    code::Code,
    hash::{hash32, rendezvous_score},
    time::Millis,
};

/// Time without a new heartbeat after which a router counts as dead, in
/// milliseconds, in a fleet of up to `ROUTERS_PER_TIMEOUT` routers.
pub const FAILURE_TIMEOUT_MS: u64 = 3_000;
/// Fleet size per multiple of [`FAILURE_TIMEOUT_MS`]; the timeout grows with the
/// fleet because gossip takes proportionally longer to reach every router.
const ROUTERS_PER_TIMEOUT: u64 = 32;
/// Time beyond the failure timeout for which a router known only from the VM
/// list counts as alive, in milliseconds.
///
/// Gossip may take that long to reach every router when a whole fleet starts.
const STARTUP_GRACE_MS: u64 = 5_000;
/// Time for which a router is suspected, and excluded, after it did not respond to a
/// request, in milliseconds.
const SUSPECT_DURATION_MS: u64 = 1_000;
/// Time beyond the failure timeout after which a silent router is removed from the
/// table, in milliseconds.
const REMOVE_AFTER_MS: u64 = 60_000;

/// Identifies one run of a router process.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RouterRef {
    /// Hash of the router's name.
    pub id: u32,
    /// Start time in milliseconds in the high 44 bits and random bits below, so
    /// that every run has a number of its own and a later run a larger one. Zero
    /// for a router in the VM list that has not sent a heartbeat yet.
    pub incarnation: u64,
}

impl RouterRef {
    /// Returns the 32-bit tag of the run.
    pub fn tag(self) -> RunTag {
        let mut bytes = [0; 12];
        bytes[..4].copy_from_slice(&self.id.to_le_bytes());
        bytes[4..].copy_from_slice(&self.incarnation.to_le_bytes());
        RunTag(hash32(&bytes))
    }
}

/// 32-bit hash of a [`RouterRef`], used in frequent datagrams to keep them small.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RunTag(pub u32);

/// Lifecycle phase that a router announces to others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The router lacks the fleet state that it needs to serve.
    Starting,
    /// The router accepts new requests.
    Serving,
    /// The router is shutting down gracefully.
    Draining,
}

impl Phase {
    /// Returns the code for rejecting a request without processing it.
    ///
    /// A request with an idempotency key may have run on an earlier attempt,
    /// which a router that is not serving cannot rule out.
    pub fn refusal_code(self, is_keyed: bool) -> Code {
        match self {
            _ if is_keyed => Code::KeyStateUnknown,
            Phase::Starting => Code::Starting,
            Phase::Serving | Phase::Draining => Code::Draining,
        }
    }
}

/// State that a router announces about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub router: RouterRef,
    /// Sequence number, which grows with each heartbeat of one incarnation.
    pub sequence: u32,
    /// HTTP address for clients.
    pub http: SocketAddr,
    /// Address for datagrams and head transfers between routers.
    pub peer: SocketAddr,
    /// Hash of the router's data centre.
    pub data_centre: u32,
    /// Lifecycle phase of the router.
    pub phase: Phase,
    /// Log offset of its accepted configuration head plus one; zero if it has
    /// none.
    pub head: u64,
}

impl Heartbeat {
    /// Returns whether the router accepts new requests.
    pub fn is_serving(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Returns whether the heartbeats are equal apart from their sequence numbers.
    pub fn equals_except_sequence(&self, other: &Heartbeat) -> bool {
        Heartbeat { sequence: other.sequence, ..*self } == *other
    }
}

/// Entry of the membership table.
#[derive(Debug, Clone, Copy)]
pub struct Member {
    /// Newest heartbeat known.
    pub heartbeat: Heartbeat,
    /// Time at which the newest heartbeat arrived; in the future while the startup
    /// grace of a listed router lasts.
    pub last_heard: Millis,
    /// Time until which the router is excluded because it did not respond.
    pub suspect_until: Millis,
}

/// Membership table of a router, which includes the router itself.
#[derive(Debug, Clone)]
pub struct Members {
    own: RouterRef,
    table: BTreeMap<u32, Member>,
}

impl Members {
    /// Creates a table that holds only this router's own heartbeat.
    pub fn new(own: Heartbeat, now: Millis) -> Members {
        let member = Member { heartbeat: own, last_heard: now, suspect_until: now };
        Members { own: own.router, table: BTreeMap::from([(own.router.id, member)]) }
    }

    /// Returns the identity of this router.
    pub fn own_router(&self) -> RouterRef {
        self.own
    }

    /// Returns this router's heartbeat.
    pub fn own_heartbeat(&self) -> Heartbeat {
        self.table[&self.own.id].heartbeat
    }

    /// Changes this router's own heartbeat and increments its sequence number.
    pub fn update_own(&mut self, now: Millis, change: impl FnOnce(&mut Heartbeat)) {
        if let Some(member) = self.table.get_mut(&self.own.id) {
            change(&mut member.heartbeat);
            member.heartbeat.sequence += 1;
            member.last_heard = now;
        }
    }

    /// Merges a heartbeat received directly or relayed by gossip; returns
    /// whether it is newer than the known one.
    pub fn merge_heartbeat(&mut self, heartbeat: Heartbeat, now: Millis) -> bool {
        if heartbeat.router.id == self.own.id {
            return false;
        }
        let member = Member { heartbeat, last_heard: now, suspect_until: Millis::default() };
        let failure_timeout_ms = self.failure_timeout_ms();
        match self.table.get_mut(&heartbeat.router.id) {
            Some(known) if !is_newer(&heartbeat, known, now, failure_timeout_ms) => false,
            Some(known) => {
                // Peers may relay heartbeats of a router that this one cannot reach,
                // so a heartbeat does not end the exclusion.
                let suspect_until = known.suspect_until;
                // Gossip is slow while a whole fleet starts, so the first
                // heartbeat must not end the startup grace.
                let last_heard = merged_last_heard(&heartbeat, known.last_heard, now);
                *known = Member { suspect_until, last_heard, ..member };
                true
            }
            None => {
                self.table.insert(heartbeat.router.id, member);
                true
            }
        }
    }

    /// Merges a heartbeat that carries only a sequence number, for a known run;
    /// returns the router's identifier if it is newer than the known one.
    pub fn merge_compact_heartbeat(
        &mut self,
        run: RunTag,
        sequence: u32,
        now: Millis,
    ) -> Option<u32> {
        let own = self.own.id;
        let known = self.table.values_mut().find(|it| it.heartbeat.router.tag() == run);
        let known = known.filter(|it| it.heartbeat.router.id != own);
        let member = known.filter(|it| sequence > it.heartbeat.sequence)?;
        member.heartbeat.sequence = sequence;
        member.last_heard = merged_last_heard(&member.heartbeat, member.last_heard, now);
        Some(member.heartbeat.router.id)
    }

    /// Adds a router from the VM list that is not in the table yet.
    ///
    /// It counts as alive for `STARTUP_GRACE_MS` longer than the failure timeout.
    pub fn add_listed(&mut self, heartbeat: Heartbeat, now: Millis) {
        if !self.table.contains_key(&heartbeat.router.id) {
            self.merge_heartbeat(heartbeat, now + STARTUP_GRACE_MS);
        }
    }

    /// Removes routers that have been silent for `REMOVE_AFTER_MS` beyond the
    /// failure timeout.
    pub fn remove_expired(&mut self, now: Millis) {
        let own = self.own.id;
        let remove_after_ms = REMOVE_AFTER_MS + self.failure_timeout_ms();
        self.table.retain(|&id, it| id == own || now.since(it.last_heard) < remove_after_ms);
    }

    /// Returns the entry of a router, whether alive or dead.
    pub fn get(&self, id: u32) -> Option<&Member> {
        self.table.get(&id)
    }

    /// Returns a heartbeat with the addresses of `run`, unless a later run has
    /// replaced it.
    ///
    /// A run that is later than the known one has just started and is assumed to
    /// use the same addresses.
    pub fn find_run(&self, run: RouterRef) -> Option<Heartbeat> {
        let known = self.table.get(&run.id)?.heartbeat;
        (known.router.incarnation <= run.incarnation).then_some(known)
    }

    /// Returns whether the table holds no other router.
    pub fn has_no_peers(&self) -> bool {
        self.table.len() == 1
    }

    /// Returns whether a heartbeat of another router has arrived.
    pub fn has_heard_from_peer(&self) -> bool {
        let mut routers = self.table.values().map(|it| it.heartbeat.router);
        routers.any(|it| it.id != self.own.id && it.incarnation != 0)
    }

    /// Extends every failure timeout by `pause_ms`, for which this process was
    /// paused and could not receive heartbeats.
    pub fn compensate_pause(&mut self, pause_ms: u64) {
        for member in self.table.values_mut() {
            member.last_heard = member.last_heard + pause_ms;
        }
    }

    /// Returns the tags of the live runs, this one included.
    ///
    /// Suspected routers count as alive here.
    pub fn alive_runs(&self, now: Millis) -> HashSet<RunTag> {
        let failure_timeout_ms = self.failure_timeout_ms();
        let is_alive = |it: &&Member| now.since(it.last_heard) < failure_timeout_ms;
        let others = self.table.values().filter(is_alive).map(|it| it.heartbeat.router.tag());
        others.chain([self.own.tag()]).collect()
    }

    /// Returns the peer address of the run with the given tag.
    pub fn peer_address(&self, tag: RunTag) -> Option<SocketAddr> {
        let member = self.table.values().find(|it| it.heartbeat.router.tag() == tag)?;
        Some(member.heartbeat.peer)
    }

    /// Excludes a router for `SUSPECT_DURATION_MS` after it did not respond in time.
    pub fn mark_suspect(&mut self, id: u32, now: Millis) {
        if let Some(member) = self.table.get_mut(&id).filter(|_| id != self.own.id) {
            member.suspect_until = now + SUSPECT_DURATION_MS;
        }
    }

    /// Returns the time without a new heartbeat after which a router counts as dead,
    /// in milliseconds.
    pub fn failure_timeout_ms(&self) -> u64 {
        FAILURE_TIMEOUT_MS * (self.table.len() as u64).div_ceil(ROUTERS_PER_TIMEOUT).max(1)
    }

    /// Iterates over this router and the live routers that are not suspected.
    pub fn alive(&self, now: Millis) -> impl Iterator<Item = &Member> {
        let own = self.own.id;
        let failure_timeout_ms = self.failure_timeout_ms();
        self.table.values().filter(move |it| {
            let is_excluded =
                now.since(it.last_heard) >= failure_timeout_ms || now < it.suspect_until;
            it.heartbeat.router.id == own || !is_excluded
        })
    }

    /// Iterates over the same routers as [`Members::alive`], without this one.
    pub fn peers(&self, now: Millis) -> impl Iterator<Item = &Member> {
        let own = self.own.id;
        self.alive(now).filter(move |it| it.heartbeat.router.id != own)
    }

    /// Ranks the serving routers for `key`, best first: those in `data_centre`
    /// precede the others, and each group is ordered by rendezvous hashing.
    pub fn rank_serving(&self, key: u64, data_centre: u32, now: Millis) -> Vec<Heartbeat> {
        let mut ranked: Vec<Heartbeat> =
            self.alive(now).map(|it| it.heartbeat).filter(Heartbeat::is_serving).collect();
        ranked.sort_by(|a, b| {
            let score = |it: &Heartbeat| rendezvous_score(key, u64::from(it.router.id), 1.0);
            let is_local = |it: &Heartbeat| it.data_centre == data_centre;
            is_local(b).cmp(&is_local(a)).then(score(b).total_cmp(&score(a)))
        });
        ranked
    }

    /// Returns the admission home of an endpoint: the live router that does
    /// admission control for it, chosen by rendezvous hashing.
    ///
    /// A draining router remains an admission home until it exits.
    pub fn admission_home(&self, endpoint: u32, now: Millis) -> Heartbeat {
        let score = |it: &Member| {
            rendezvous_score(u64::from(endpoint), u64::from(it.heartbeat.router.id), 1.0)
        };
        self.alive(now)
            .max_by(|a, b| score(a).total_cmp(&score(b)))
            .map_or_else(|| self.own_heartbeat(), |it| it.heartbeat)
    }

    /// Returns the router to use as the witness of `key`, an idempotency key (see
    /// [`crate::idempotency`]): a serving peer, preferably in another data centre.
    pub fn witness(&self, key: u64, now: Millis) -> Option<Heartbeat> {
        let data_centre = self.own_heartbeat().data_centre;
        let score = |it: &Heartbeat| rendezvous_score(key, u64::from(it.router.id), 1.0);
        self.peers(now)
            .map(|it| it.heartbeat)
            .filter(|it| it.is_serving() && it.router.incarnation != 0)
            .max_by(|a, b| {
                let is_remote = |it: &Heartbeat| it.data_centre != data_centre;
                is_remote(a).cmp(&is_remote(b)).then(score(a).total_cmp(&score(b)))
            })
    }
}

/// Returns the `last_heard` time after a new heartbeat: a `known` time in the
/// future, set by the startup grace, is kept unless the router is draining.
fn merged_last_heard(heartbeat: &Heartbeat, known: Millis, now: Millis) -> Millis {
    if heartbeat.phase == Phase::Draining { now } else { now.max(known) }
}

/// Returns whether `heartbeat` supersedes `known`.
///
/// A restarted router has a new incarnation. A higher one supersedes the known
/// one at once. A lower one, which a restart yields if the wall clock was set
/// back, supersedes it only after the failure timeout.
fn is_newer(heartbeat: &Heartbeat, known: &Member, now: Millis, failure_timeout_ms: u64) -> bool {
    if heartbeat.router.incarnation == known.heartbeat.router.incarnation {
        return heartbeat.sequence > known.heartbeat.sequence;
    }
    heartbeat.router.incarnation > known.heartbeat.router.incarnation
        || now.since(known.last_heard) >= failure_timeout_ms
}

/// Hashes the name of a data centre for use in heartbeats.
pub fn hash_data_centre(data_centre: &str) -> u32 {
    hash32(data_centre.as_bytes())
}
