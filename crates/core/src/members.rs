//! The routers of the fleet, as one router hears of them by gossip.

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

/// Silence after which a router of a small fleet counts as dead, in
/// milliseconds.
pub const DEAD_AFTER_MS: u64 = 3_000;
/// Routers up to which [`DEAD_AFTER_MS`] holds; a larger fleet's gossip takes
/// proportionally longer to come round.
const SMALL_FLEET: u64 = 32;
/// Time beyond [`DEAD_AFTER_MS`] for which a listed router counts as alive before
/// it was first heard, in milliseconds: gossip may take that long to come round
/// when a whole fleet starts.
const INTRODUCTION_MS: u64 = 5_000;
/// How long a router that did not answer is passed over, in milliseconds.
const SUSPECT_MS: u64 = 1_000;
/// Silence after which a router is forgotten, in milliseconds.
const FORGET_AFTER_MS: u64 = 60_000;

/// One run of one router process.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RouterRef {
    /// Hash of the router's name.
    pub id: u32,
    /// Start time in milliseconds in the high 44 bits, random bits below, so
    /// that no two runs share one and a later run has the larger.
    pub incarnation: u64,
}

/// A short name of one run of a router, for datagrams that are sent often.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RunTag(pub u32);

/// How far a router is in its life, as others need to know it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// It does not know enough of the fleet yet to serve.
    Starting,
    /// It takes new work.
    Serving,
    /// It has begun a planned stop.
    Draining,
}

impl Phase {
    /// Returns the code with which a router that does not serve turns a request
    /// away unread.
    ///
    /// A request with a key may have run on an earlier attempt, which such a
    /// router cannot tell.
    pub fn refusal(self, is_keyed: bool) -> Code {
        match self {
            _ if is_keyed => Code::KeyUnjudged,
            Phase::Starting => Code::Starting,
            Phase::Serving | Phase::Draining => Code::Draining,
        }
    }
}

impl Heartbeat {
    /// Returns whether the router takes new work.
    pub fn is_serving(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Returns whether `other` says the same but for the count.
    pub fn says_same(&self, other: &Heartbeat) -> bool {
        Heartbeat { beat: other.beat, ..*self } == *other
    }
}

impl RouterRef {
    /// Returns the short name of the run.
    pub fn tag(self) -> RunTag {
        let mut bytes = [0; 12];
        bytes[..4].copy_from_slice(&self.id.to_le_bytes());
        bytes[4..].copy_from_slice(&self.incarnation.to_le_bytes());
        RunTag(hash32(&bytes))
    }
}

/// What a router tells others of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The router.
    pub router: RouterRef,
    /// Grows with each heartbeat of one incarnation.
    pub beat: u32,
    /// Address of the callers' port.
    pub http: SocketAddr,
    /// Address of the peer port, for datagrams and head transfers.
    pub peer: SocketAddr,
    /// Hash of the router's data centre.
    pub data_centre: u32,
    /// How far the router is in its life.
    pub phase: Phase,
    /// Offset of its accepted head plus one; zero if it has none.
    pub head: u64,
}

/// A router with the time that it was last heard of.
#[derive(Debug, Clone, Copy)]
pub struct Member {
    /// The last heartbeat.
    pub heartbeat: Heartbeat,
    /// When a new heartbeat last arrived.
    pub heard_at: Millis,
    /// Until when the router is passed over because it did not answer.
    pub suspect_until: Millis,
}

/// The routers that one router knows, itself included.
#[derive(Debug, Clone)]
pub struct Members {
    own: RouterRef,
    table: BTreeMap<u32, Member>,
}

impl Members {
    /// Starts with the router's own heartbeat.
    pub fn new(own: Heartbeat, now: Millis) -> Members {
        let member = Member { heartbeat: own, heard_at: now, suspect_until: now };
        Members { own: own.router, table: BTreeMap::from([(own.router.id, member)]) }
    }

    /// Returns this router.
    pub fn own(&self) -> RouterRef {
        self.own
    }

    /// Returns this router's heartbeat.
    pub fn own_heartbeat(&self) -> Heartbeat {
        self.table[&self.own.id].heartbeat
    }

    /// Changes this router's own heartbeat and counts it up.
    pub fn beat(&mut self, now: Millis, change: impl FnOnce(&mut Heartbeat)) {
        if let Some(member) = self.table.get_mut(&self.own.id) {
            change(&mut member.heartbeat);
            member.heartbeat.beat += 1;
            member.heard_at = now;
        }
    }

    /// Takes in a heartbeat heard directly or by gossip; returns whether it is
    /// newer than the one known.
    pub fn hear(&mut self, heartbeat: Heartbeat, now: Millis) -> bool {
        if heartbeat.router.id == self.own.id {
            return false;
        }
        let member = Member { heartbeat, heard_at: now, suspect_until: Millis::default() };
        let dead_after = self.dead_after();
        match self.table.get_mut(&heartbeat.router.id) {
            Some(known) if !is_newer(&heartbeat, known, now, dead_after) => false,
            Some(known) => {
                // Others may relay heartbeats of a router that no longer answers us.
                let suspect_until = known.suspect_until;
                // The first heartbeats of a starting fleet come round slowly;
                // they must not end the time that its introduction gave.
                let heard_at = heard_time(&heartbeat, known.heard_at, now);
                *known = Member { suspect_until, heard_at, ..member };
                true
            }
            None => {
                self.table.insert(heartbeat.router.id, member);
                true
            }
        }
    }

    /// Takes in a short heartbeat of a run that is known; returns the router's
    /// identity if it is newer than the last one.
    pub fn hear_beat(&mut self, run: RunTag, beat: u32, now: Millis) -> Option<u32> {
        let own = self.own.id;
        let known = self.table.values_mut().find(|it| it.heartbeat.router.tag() == run);
        let known = known.filter(|it| it.heartbeat.router.id != own);
        let member = known.filter(|it| beat > it.heartbeat.beat)?;
        member.heartbeat.beat = beat;
        member.heard_at = heard_time(&member.heartbeat, member.heard_at, now);
        Some(member.heartbeat.router.id)
    }

    /// Takes in a router that the VM list names but that was never heard of.
    pub fn introduce(&mut self, heartbeat: Heartbeat, now: Millis) {
        if !self.table.contains_key(&heartbeat.router.id) {
            self.hear(heartbeat, now + INTRODUCTION_MS);
        }
    }

    /// Forgets routers that have been silent for long.
    pub fn expire(&mut self, now: Millis) {
        let own = self.own.id;
        let forget_after = FORGET_AFTER_MS + self.dead_after();
        self.table.retain(|&id, it| id == own || now.since(it.heard_at) < forget_after);
    }

    /// Returns a router, alive or not.
    pub fn get(&self, id: u32) -> Option<&Member> {
        self.table.get(&id)
    }

    /// Returns where to reach `run`, unless a later run has replaced it.
    ///
    /// A run that is newer than the one known has just started, at the same
    /// address.
    pub fn find_run(&self, run: RouterRef) -> Option<Heartbeat> {
        let known = self.table.get(&run.id)?.heartbeat;
        (known.router.incarnation <= run.incarnation).then_some(known)
    }

    /// Returns whether no other router is known.
    pub fn is_alone(&self) -> bool {
        self.table.len() == 1
    }

    /// Returns whether another router has spoken.
    pub fn has_heard_peer(&self) -> bool {
        let mut routers = self.table.values().map(|it| it.heartbeat.router);
        routers.any(|it| it.id != self.own.id && it.incarnation != 0)
    }

    /// Excuses the silence of all routers for `pause_ms`, during which this
    /// process itself was paused and could hear nobody.
    pub fn excuse(&mut self, pause_ms: u64) {
        for member in self.table.values_mut() {
            member.heard_at = member.heard_at + pause_ms;
        }
    }

    /// Returns the short names of the runs that are alive, this one included.
    pub fn alive_runs(&self, now: Millis) -> HashSet<RunTag> {
        let dead_after = self.dead_after();
        let heard = |it: &&Member| now.since(it.heard_at) < dead_after;
        let others = self.table.values().filter(heard).map(|it| it.heartbeat.router.tag());
        others.chain([self.own.tag()]).collect()
    }

    /// Returns the peer address of the run with short name `tag`.
    pub fn peer_of(&self, tag: RunTag) -> Option<SocketAddr> {
        let run = self.table.values().find(|it| it.heartbeat.router.tag() == tag)?;
        Some(run.heartbeat.peer)
    }

    /// Passes over a router that did not answer in time.
    pub fn suspect(&mut self, id: u32, now: Millis) {
        if let Some(member) = self.table.get_mut(&id).filter(|_| id != self.own.id) {
            member.suspect_until = now + SUSPECT_MS;
        }
    }

    /// Returns the silence after which a router counts as dead, in milliseconds.
    pub fn dead_after(&self) -> u64 {
        DEAD_AFTER_MS * (self.table.len() as u64).div_ceil(SMALL_FLEET).max(1)
    }

    /// Iterates over the routers heard of lately, itself included.
    pub fn alive(&self, now: Millis) -> impl Iterator<Item = &Member> {
        let own = self.own.id;
        let dead_after = self.dead_after();
        self.table.values().filter(move |it| {
            let silent = now.since(it.heard_at) >= dead_after || now < it.suspect_until;
            it.heartbeat.router.id == own || !silent
        })
    }

    /// Iterates over the live routers other than this one.
    pub fn peers(&self, now: Millis) -> impl Iterator<Item = &Member> {
        let own = self.own.id;
        self.alive(now).filter(move |it| it.heartbeat.router.id != own)
    }

    /// Returns the routers that take new work, best first for `key`: those of
    /// `data_centre` by rendezvous hashing, then the rest.
    pub fn rank(&self, key: u64, data_centre: u32, now: Millis) -> Vec<Heartbeat> {
        let mut ranked: Vec<Heartbeat> =
            self.alive(now).map(|it| it.heartbeat).filter(Heartbeat::is_serving).collect();
        ranked.sort_by(|a, b| {
            let score = |it: &Heartbeat| rendezvous_score(key, u64::from(it.router.id), 1.0);
            let local = |it: &Heartbeat| it.data_centre == data_centre;
            local(b).cmp(&local(a)).then(score(b).total_cmp(&score(a)))
        });
        ranked
    }

    /// Returns the router that admits work to the endpoint with hash `endpoint`.
    ///
    /// A draining router stays an admission home until it exits.
    pub fn admission_home(&self, endpoint: u32, now: Millis) -> Heartbeat {
        let score = |it: &Member| {
            rendezvous_score(u64::from(endpoint), u64::from(it.heartbeat.router.id), 1.0)
        };
        self.alive(now)
            .max_by(|a, b| score(a).total_cmp(&score(b)))
            .map_or_else(|| self.own_heartbeat(), |it| it.heartbeat)
    }

    /// Returns the witness for `key`: a live router, best in another data centre.
    pub fn witness(&self, key: u64, now: Millis) -> Option<Heartbeat> {
        let data_centre = self.own_heartbeat().data_centre;
        let score = |it: &Heartbeat| rendezvous_score(key, u64::from(it.router.id), 1.0);
        self.peers(now)
            .map(|it| it.heartbeat)
            .filter(|it| it.is_serving() && it.router.incarnation != 0)
            .max_by(|a, b| {
                let far = |it: &Heartbeat| it.data_centre != data_centre;
                far(a).cmp(&far(b)).then(score(a).total_cmp(&score(b)))
            })
    }
}

/// Returns when a router counts as heard: a later time that its introduction
/// gave is kept, unless it is about to stop.
fn heard_time(heartbeat: &Heartbeat, known: Millis, now: Millis) -> Millis {
    if heartbeat.phase == Phase::Draining { now } else { now.max(known) }
}

/// A restarted router draws a new incarnation, which replaces the old one once
/// that has fallen silent or whenever the new one speaks for itself later.
fn is_newer(heartbeat: &Heartbeat, known: &Member, now: Millis, dead_after: u64) -> bool {
    if heartbeat.router.incarnation == known.heartbeat.router.incarnation {
        return heartbeat.beat > known.heartbeat.beat;
    }
    heartbeat.router.incarnation > known.heartbeat.router.incarnation
        || now.since(known.heard_at) >= dead_after
}

/// Hashes a data centre's name for heartbeats.
pub fn hash_data_centre(data_centre: &str) -> u32 {
    hash32(data_centre.as_bytes())
}
