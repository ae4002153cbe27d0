//! Which gateways are alive, and which are sent a heartbeat when.
//!
//! In a small fleet every gateway tells all others in each round. In a large
//! one it tells all others in turn, within its share of traffic, and a few
//! neighbours more often: the gateways form a ring, and those that follow one
//! notice soon when it falls silent. They report it; two reports count as its
//! death, of which all who learn tell others for a while.

use std::{
    collections::BTreeMap,
    net::Ipv4Addr,
    ops::Bound::{Excluded, Unbounded},
};

use mimosaledge_core::{Millis, hash::hash64};
use serde::{Deserialize, Serialize};

/// Other gateways up to which all are told in each round.
pub const SMALL_FLEET: usize = 100;
/// Shortest pause between two rounds, in milliseconds.
const ROUND_MS: u64 = 400;
/// Pause that each gateway of a small fleet adds, in milliseconds, so that the
/// traffic of one gateway stays the same however many there are.
const ROUND_MS_PER_MEMBER: u64 = 9;
/// Bytes of heartbeats that a gateway of a large fleet sends in a second; it
/// receives as many.
const SENT_PER_S: u64 = 4_800;
/// Bytes of IP and UDP headers around a datagram.
const HEADER_BYTES: u64 = 28;
/// Followers in the ring that are told in every second round.
const FOLLOWERS: usize = 6;
/// Nearest predecessors whose silence is reported; fewer than [`FOLLOWERS`], so
/// that a gateway that has just joined between is no reason for a report.
const WATCHED: usize = 3;
/// Silence after which a predecessor is reported, in milliseconds.
const SILENT_MS: u64 = 4 * 2 * ROUND_MS;
/// Reports by different gateways that count as a death.
const REPORTS: usize = 2;
/// Time for which a death is told, in milliseconds.
const TELL_MS: u64 = 8_000;
/// Most deaths in one heartbeat.
const MAX_TOLD: usize = 24;
/// Rounds, or turns in a large fleet, without a heartbeat after which a gateway
/// counts as dead without any report.
const DEAD_ROUNDS: u64 = 4;
/// Time for which a gateway of a small fleet that was never heard is told in
/// each round, in milliseconds.
const GREET_MS: u64 = 4_000;
/// Dead gateways are told once in so many rounds or turns.
const DEAD_EVERY: u64 = 6;
/// Silence after which a gateway is forgotten, in milliseconds.
const FORGET_MS: u64 = 60_000;

#[derive(Debug)]
struct Member {
    address: Ipv4Addr,
    added: Millis,
    heard: Option<Millis>,
    /// Whether the last two heartbeats came at the pace of neighbours.
    is_close: bool,
    /// The gateways that reported its silence since it was last heard.
    reports: Vec<Ipv4Addr>,
    /// When it was found dead, if it was not heard since.
    dead: Option<Millis>,
}

impl Member {
    fn heard_within(&self, ms: u64, now: Millis) -> bool {
        self.heard.is_some_and(|at| now.since(at) < ms)
    }
}

/// Gateways that do not answer, as one tells the others.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Losses {
    /// Gateways whose heartbeats the teller misses.
    pub silent: Vec<Ipv4Addr>,
    /// Gateways that several found silent.
    pub dead: Vec<Ipv4Addr>,
}

/// The other gateways, in the order of the ring.
#[derive(Debug)]
pub struct Membership {
    own: u64,
    members: BTreeMap<u64, Member>,
    /// The member told last in its turn.
    told_last: u64,
    turns: u64,
    /// Members told in one round.
    share: usize,
}

impl Membership {
    /// Makes the membership of a gateway that knows no other.
    pub fn from_own(address: Ipv4Addr) -> Membership {
        let own = rank(address);
        Membership { own, members: BTreeMap::new(), told_last: own, turns: 0, share: usize::MAX }
    }

    /// Adds a gateway that may be alive.
    pub fn add(&mut self, address: Ipv4Addr, now: Millis) {
        let rank = rank(address);
        if rank != self.own {
            let new = || Member {
                address,
                added: now,
                heard: None,
                is_close: false,
                reports: Vec::new(),
                dead: None,
            };
            self.members.entry(rank).or_insert_with(new);
        }
    }

    /// Notes a heartbeat.
    pub fn hear(&mut self, address: Ipv4Addr, now: Millis) {
        self.add(address, now);
        if let Some(member) = self.members.get_mut(&rank(address)) {
            member.is_close = member.heard_within(SILENT_MS, now);
            member.heard = Some(now);
            member.reports.clear();
            member.dead = None;
        }
    }

    /// Takes in which gateways `by` finds silent or dead.
    pub fn hear_losses(&mut self, losses: &Losses, by: Ipv4Addr, now: Millis) {
        for address in &losses.silent {
            let Some(member) = self.members.get_mut(&rank(*address)) else { continue };
            if !member.reports.contains(&by) {
                member.reports.push(by);
            }
            if member.reports.len() >= REPORTS {
                member.dead.get_or_insert(now);
            }
        }
        for address in &losses.dead {
            let Some(member) = self.members.get_mut(&rank(*address)) else { continue };
            if !member.heard_within(SILENT_MS, now) {
                member.dead.get_or_insert(now);
            }
        }
    }

    /// Returns the gateways that this one finds silent, and those that died
    /// lately.
    pub fn losses(&self, now: Millis) -> Losses {
        if !self.is_large() {
            return Losses::default();
        }
        let age = |it: &Member| it.dead.map(|at| now.since(at)).filter(|age| *age < TELL_MS);
        let mut dead: Vec<(u64, Ipv4Addr)> =
            self.members.values().filter_map(|it| Some((age(it)?, it.address))).collect();
        dead.sort_unstable();
        dead.truncate(MAX_TOLD);
        Losses {
            silent: self.silent(now),
            dead: dead.into_iter().map(|(_, address)| address).collect(),
        }
    }

    /// Forgets gateways that have been silent for long; returns them.
    pub fn forget(&mut self, now: Millis) -> Vec<Ipv4Addr> {
        let is_old = |it: &Member| now.since(it.heard.unwrap_or(it.added)) >= FORGET_MS;
        let old: Vec<u64> =
            self.members.iter().filter(|(_, it)| is_old(it)).map(|(rank, _)| *rank).collect();
        old.iter().filter_map(|rank| self.members.remove(rank)).map(|it| it.address).collect()
    }

    /// Returns whether a gateway is alive, as far as known.
    pub fn is_alive(&self, address: Ipv4Addr, now: Millis) -> bool {
        self.members.get(&rank(address)).is_some_and(|it| self.lives(it, now))
    }

    /// Iterates over the gateways that are alive.
    pub fn alive(&self, now: Millis) -> impl Iterator<Item = Ipv4Addr> {
        self.members.values().filter(move |it| self.lives(it, now)).map(|it| it.address)
    }

    /// Iterates over the gateways that may be alive: those that are, and those
    /// that were never heard.
    pub fn possible(&self, now: Millis) -> impl Iterator<Item = Ipv4Addr> {
        let may_live = move |it: &&Member| self.lives(it, now) || it.heard.is_none();
        self.members.values().filter(may_live).map(|it| it.address)
    }

    /// Returns whether not all gateways are told in each round.
    pub fn is_large(&self) -> bool {
        self.members.len() > SMALL_FLEET
    }

    /// Returns the pause until the next round, in milliseconds.
    pub fn pause_ms(&self) -> u64 {
        match self.is_large() {
            true => ROUND_MS,
            false => ROUND_MS + ROUND_MS_PER_MEMBER * self.members.len() as u64,
        }
    }

    /// Returns the predecessors in the ring that have fallen silent.
    fn silent(&self, now: Millis) -> Vec<Ipv4Addr> {
        let before = self.members.range(..self.own).rev();
        let around = self.members.range((Excluded(self.own), Unbounded)).rev();
        let mut watched = 0;
        let mut silent = Vec::new();
        for (_, member) in before.chain(around).filter(|(_, it)| self.lives(it, now)) {
            if member.is_close && !member.heard_within(SILENT_MS, now) {
                silent.push(member.address);
            }
            watched += 1;
            if watched == WATCHED {
                break;
            }
        }
        silent
    }

    /// Returns the gateways that are told in `round` by datagrams of `bytes`.
    pub fn recipients(&mut self, round: u64, bytes: usize, now: Millis) -> Vec<Ipv4Addr> {
        if !self.is_large() {
            self.share = usize::MAX;
            return self.all(round, now);
        }
        let datagram = bytes as u64 + HEADER_BYTES;
        let room = (SENT_PER_S * ROUND_MS / 1_000 / datagram) as usize;
        self.share = room.saturating_sub(FOLLOWERS / 2).max(1);
        let mut recipients = self.take_turns(now);
        if round.is_multiple_of(2) {
            let mut followers = self.followers(now);
            followers.retain(|it| !recipients.contains(it));
            recipients.append(&mut followers);
        }
        recipients
    }

    fn all(&self, round: u64, now: Millis) -> Vec<Ipv4Addr> {
        let is_due = |it: &&Member| {
            let is_new = now.since(it.added) < GREET_MS;
            is_new || self.lives(it, now) || round.is_multiple_of(DEAD_EVERY)
        };
        self.members.values().filter(is_due).map(|it| it.address).collect()
    }

    /// Returns those whose turn it is.
    fn take_turns(&mut self, now: Millis) -> Vec<Ipv4Addr> {
        let mut taken = Vec::new();
        for _ in 0..self.members.len() {
            if taken.len() >= self.share {
                break;
            }
            let next = self.members.range((Excluded(self.told_last), Unbounded)).next();
            let Some((&rank, _)) = next.or_else(|| self.members.iter().next()) else { break };
            if rank <= self.told_last {
                self.turns += 1;
            }
            self.told_last = rank;
            let member = &self.members[&rank];
            let is_due = self.lives(member, now) || member.heard.is_none();
            if is_due || self.turns.is_multiple_of(DEAD_EVERY) {
                taken.push(member.address);
            }
        }
        taken
    }

    /// Returns the live followers in the ring, and those between them that were
    /// never heard.
    fn followers(&self, now: Millis) -> Vec<Ipv4Addr> {
        let after = self.members.range((Excluded(self.own), Unbounded));
        let around = self.members.range(..self.own);
        let mut live = 0;
        let mut followers = Vec::new();
        for (_, member) in after.chain(around) {
            if live == FOLLOWERS || followers.len() == 2 * FOLLOWERS {
                break;
            }
            let lives = self.lives(member, now);
            live += usize::from(lives);
            if lives || member.heard.is_none() {
                followers.push(member.address);
            }
        }
        followers
    }

    fn lives(&self, member: &Member, now: Millis) -> bool {
        member.heard_within(self.dead_after_ms(), now) && member.dead.is_none()
    }

    fn dead_after_ms(&self) -> u64 {
        let rounds = self.members.len().div_ceil(self.share).max(1) as u64;
        DEAD_ROUNDS * rounds * self.pause_ms()
    }
}

/// Returns a gateway's place in the ring.
pub fn rank(address: Ipv4Addr) -> u64 {
    hash64(&address.octets())
}
