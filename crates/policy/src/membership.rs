//! Failure detection between gateways: which ones are alive, and which are sent
//! a heartbeat in a round.
//!
//! In a small fleet every gateway sends a heartbeat to all others in each
//! round. In a large one it limits the bytes that it sends per second: it sends
//! heartbeats to all others in rotation, and more often to its nearest
//! successors on a hash ring. Each gateway monitors its nearest predecessors
//! and reports those that stop sending. Reports by two gateways mark a gateway
//! as dead, and every gateway that marks one as dead gossips this for a while.

use std::{
    collections::BTreeMap,
    net::Ipv4Addr,
    ops::Bound::{Excluded, Unbounded},
};

use mimosaledge_core::{Millis, hash::hash64};
use serde::{Deserialize, Serialize};

/// Shortest interval between two rounds, in milliseconds.
const MIN_ROUND_MS: u64 = 400;
/// Time that each member of a small fleet adds to the interval between rounds,
/// in milliseconds, so that the traffic of one gateway does not grow with the
/// fleet.
const ROUND_MS_PER_MEMBER: u64 = 9;
/// Bytes of heartbeats that a gateway of a large fleet sends per second; it
/// receives as many.
const SEND_BYTES_PER_S: u64 = 4_800;
/// Bytes of IP and UDP headers per datagram.
const DATAGRAM_HEADER_BYTES: u64 = 28;
/// Number of nearest successors on the ring that are sent a heartbeat in every
/// second round.
const SUCCESSORS: usize = 6;
/// Number of nearest predecessors on the ring that are monitored; fewer than
/// [`SUCCESSORS`], so that a gateway that joins between two others does not
/// cause a false report.
const MONITORED_PREDECESSORS: usize = 3;
/// Time without a heartbeat after which a predecessor is reported, in
/// milliseconds: four heartbeats, one in every second round.
const SUSPECT_TIMEOUT_MS: u64 = 4 * 2 * MIN_ROUND_MS;
/// Number of different gateways that must report a gateway to mark it as dead.
const REPORTS_TO_MARK_DEAD: usize = 2;
/// Time for which a gateway that was marked as dead is gossiped, in milliseconds.
const DEAD_GOSSIP_MS: u64 = 8_000;
/// Maximum number of dead gateways in one heartbeat.
const MAX_GOSSIPED_DEAD: usize = 24;
/// Rounds, or rotations in a large fleet, without a heartbeat after which a
/// gateway counts as dead without any report.
const MAX_MISSED_ROUNDS: u64 = 4;
/// Time for which a new member of a small fleet is sent a heartbeat in each
/// round even if it has sent none, in milliseconds.
const JOIN_GRACE_MS: u64 = 4_000;
/// Dead gateways are sent a heartbeat once in this many rounds or rotations.
const DEAD_PROBE_ROUNDS: u64 = 6;
/// Time without a heartbeat after which a gateway is removed, in milliseconds.
const REMOVE_AFTER_MS: u64 = 60_000;

#[derive(Debug)]
struct Member {
    address: Ipv4Addr,
    added_at: Millis,
    last_heartbeat: Option<Millis>,
    /// Whether the last two heartbeats came within [`SUSPECT_TIMEOUT_MS`], as
    /// they do from a gateway that has this one among its successors.
    is_predecessor: bool,
    /// Gateways that have reported it as silent since its last heartbeat.
    reported_by: Vec<Ipv4Addr>,
    /// Time at which it was marked as dead, unless it has sent a heartbeat since.
    dead_since: Option<Millis>,
}

impl Member {
    fn sent_heartbeat_within(&self, ms: u64, now: Millis) -> bool {
        self.last_heartbeat.is_some_and(|at| now.since(at) < ms)
    }
}

/// Failures that one gateway reports to the others.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureReport {
    /// Predecessors from which the reporting gateway receives no heartbeats.
    pub suspected: Vec<Ipv4Addr>,
    /// Gateways that were recently marked as dead.
    pub dead: Vec<Ipv4Addr>,
}

/// The other gateways, by their position on the ring.
#[derive(Debug)]
pub struct Membership {
    own_position: u64,
    members: BTreeMap<u64, Member>,
    /// Position of the member that the rotation reached last.
    rotation_cursor: u64,
    /// Number of completed rotations.
    rotations: u64,
    /// Number of members that are sent a heartbeat in rotation in one round.
    batch_size: usize,
    /// Maximum number of other gateways that are all sent a heartbeat in each
    /// round; a fleet with more is a large one.
    mesh_peers: usize,
}

impl Membership {
    /// Creates the membership of the gateway at `address`, which knows no
    /// other.
    pub fn new(address: Ipv4Addr, mesh_peers: usize) -> Membership {
        let own_position = ring_position(address);
        Membership {
            own_position,
            members: BTreeMap::new(),
            rotation_cursor: own_position,
            rotations: 0,
            batch_size: usize::MAX,
            mesh_peers,
        }
    }

    /// Adds a gateway that may be alive.
    pub fn add(&mut self, address: Ipv4Addr, now: Millis) {
        let position = ring_position(address);
        if position != self.own_position {
            let new = || Member {
                address,
                added_at: now,
                last_heartbeat: None,
                is_predecessor: false,
                reported_by: Vec::new(),
                dead_since: None,
            };
            self.members.entry(position).or_insert_with(new);
        }
    }

    /// Records a heartbeat from `address`.
    pub fn record_heartbeat(&mut self, address: Ipv4Addr, now: Millis) {
        self.add(address, now);
        if let Some(member) = self.members.get_mut(&ring_position(address)) {
            member.is_predecessor = member.sent_heartbeat_within(SUSPECT_TIMEOUT_MS, now);
            member.last_heartbeat = Some(now);
            member.reported_by.clear();
            member.dead_since = None;
        }
    }

    /// Applies the failures that the gateway `reporter` has reported.
    pub fn apply_report(&mut self, report: &FailureReport, reporter: Ipv4Addr, now: Millis) {
        for address in &report.suspected {
            let Some(member) = self.members.get_mut(&ring_position(*address)) else { continue };
            if !member.reported_by.contains(&reporter) {
                member.reported_by.push(reporter);
            }
            if member.reported_by.len() >= REPORTS_TO_MARK_DEAD {
                member.dead_since.get_or_insert(now);
            }
        }
        for address in &report.dead {
            let Some(member) = self.members.get_mut(&ring_position(*address)) else { continue };
            if !member.sent_heartbeat_within(SUSPECT_TIMEOUT_MS, now) {
                member.dead_since.get_or_insert(now);
            }
        }
    }

    /// Returns the failures to report to other gateways; none in a small fleet,
    /// where each gateway detects failures itself.
    pub fn failure_report(&self, now: Millis) -> FailureReport {
        if !self.is_large() {
            return FailureReport::default();
        }
        let age =
            |it: &Member| it.dead_since.map(|at| now.since(at)).filter(|age| *age < DEAD_GOSSIP_MS);
        let mut dead: Vec<(u64, Ipv4Addr)> =
            self.members.values().filter_map(|it| Some((age(it)?, it.address))).collect();
        dead.sort_unstable();
        dead.truncate(MAX_GOSSIPED_DEAD);
        FailureReport {
            suspected: self.suspected_predecessors(now),
            dead: dead.into_iter().map(|(_, address)| address).collect(),
        }
    }

    /// Removes gateways that have not sent a heartbeat for `REMOVE_AFTER_MS`, and
    /// returns them.
    pub fn remove_silent(&mut self, now: Millis) -> Vec<Ipv4Addr> {
        let is_silent =
            |it: &Member| now.since(it.last_heartbeat.unwrap_or(it.added_at)) >= REMOVE_AFTER_MS;
        let silent: Vec<u64> = self
            .members
            .iter()
            .filter(|(_, it)| is_silent(it))
            .map(|(position, _)| *position)
            .collect();
        silent
            .iter()
            .filter_map(|position| self.members.remove(position))
            .map(|it| it.address)
            .collect()
    }

    /// Returns whether a gateway with this address is a member, alive or not.
    pub fn is_known(&self, address: Ipv4Addr) -> bool {
        self.members.contains_key(&ring_position(address))
    }

    /// Returns whether a gateway is believed to be alive.
    pub fn is_alive(&self, address: Ipv4Addr, now: Millis) -> bool {
        self.members.get(&ring_position(address)).is_some_and(|it| self.is_member_alive(it, now))
    }

    /// Returns the number of gateways that may be alive, although nothing has been heard of
    /// some of them for up to `REMOVE_AFTER_MS`.
    pub fn known_count(&self) -> usize {
        self.members.len()
    }

    /// Iterates over the gateways that are believed to be alive.
    pub fn alive(&self, now: Millis) -> impl Iterator<Item = Ipv4Addr> {
        self.members.values().filter(move |it| self.is_member_alive(it, now)).map(|it| it.address)
    }

    /// Iterates over the gateways that may be alive: those believed to be, and
    /// those that have not sent a heartbeat yet.
    pub fn possibly_alive(&self, now: Millis) -> impl Iterator<Item = Ipv4Addr> {
        let may_be_alive =
            move |it: &&Member| self.is_member_alive(it, now) || it.last_heartbeat.is_none();
        self.members.values().filter(may_be_alive).map(|it| it.address)
    }

    /// Returns whether the fleet is too large to send all gateways a heartbeat
    /// in each round.
    pub fn is_large(&self) -> bool {
        self.members.len() > self.mesh_peers
    }

    /// Returns the interval until the next round, in milliseconds.
    pub fn round_interval_ms(&self) -> u64 {
        match self.is_large() {
            true => MIN_ROUND_MS,
            false => MIN_ROUND_MS + ROUND_MS_PER_MEMBER * self.members.len() as u64,
        }
    }

    /// Returns the monitored predecessors that have stopped sending heartbeats.
    fn suspected_predecessors(&self, now: Millis) -> Vec<Ipv4Addr> {
        let before = self.members.range(..self.own_position).rev();
        let wrapped = self.members.range((Excluded(self.own_position), Unbounded)).rev();
        let mut monitored = 0;
        let mut suspected = Vec::new();
        for (_, member) in before.chain(wrapped).filter(|(_, it)| self.is_member_alive(it, now)) {
            if member.is_predecessor && !member.sent_heartbeat_within(SUSPECT_TIMEOUT_MS, now) {
                suspected.push(member.address);
            }
            monitored += 1;
            if monitored == MONITORED_PREDECESSORS {
                break;
            }
        }
        suspected
    }

    /// Returns the gateways to send a heartbeat of `bytes` of payload in
    /// `round`.
    pub fn recipients(&mut self, round: u64, bytes: usize, now: Millis) -> Vec<Ipv4Addr> {
        if !self.is_large() {
            self.batch_size = usize::MAX;
            return self.full_mesh_recipients(round, now);
        }
        let datagram = bytes as u64 + DATAGRAM_HEADER_BYTES;
        let datagrams = (SEND_BYTES_PER_S * MIN_ROUND_MS / 1_000 / datagram) as usize;
        self.batch_size = datagrams.saturating_sub(SUCCESSORS / 2).max(1);
        let mut recipients = self.advance_rotation(now);
        if round.is_multiple_of(2) {
            let mut successors = self.successors(now);
            successors.retain(|it| !recipients.contains(it));
            recipients.append(&mut successors);
        }
        recipients
    }

    fn full_mesh_recipients(&self, round: u64, now: Millis) -> Vec<Ipv4Addr> {
        let is_due = |it: &&Member| {
            let is_new = now.since(it.added_at) < JOIN_GRACE_MS;
            is_new || self.is_member_alive(it, now) || round.is_multiple_of(DEAD_PROBE_ROUNDS)
        };
        self.members.values().filter(is_due).map(|it| it.address).collect()
    }

    /// Advances the rotation by one round and returns its recipients.
    fn advance_rotation(&mut self, now: Millis) -> Vec<Ipv4Addr> {
        let mut recipients = Vec::new();
        for _ in 0..self.members.len() {
            if recipients.len() >= self.batch_size {
                break;
            }
            let next = self.members.range((Excluded(self.rotation_cursor), Unbounded)).next();
            let Some((&position, _)) = next.or_else(|| self.members.iter().next()) else { break };
            if position <= self.rotation_cursor {
                self.rotations += 1;
            }
            self.rotation_cursor = position;
            let member = &self.members[&position];
            let is_due = self.is_member_alive(member, now) || member.last_heartbeat.is_none();
            if is_due || self.rotations.is_multiple_of(DEAD_PROBE_ROUNDS) {
                recipients.push(member.address);
            }
        }
        recipients
    }

    /// Returns the nearest live successors on the ring, and the gateways between
    /// them that have not sent a heartbeat yet, but at most twice [`SUCCESSORS`]
    /// in total.
    fn successors(&self, now: Millis) -> Vec<Ipv4Addr> {
        let after = self.members.range((Excluded(self.own_position), Unbounded));
        let wrapped = self.members.range(..self.own_position);
        let mut live = 0;
        let mut successors = Vec::new();
        for (_, member) in after.chain(wrapped) {
            if live == SUCCESSORS || successors.len() == 2 * SUCCESSORS {
                break;
            }
            let is_alive = self.is_member_alive(member, now);
            live += usize::from(is_alive);
            if is_alive || member.last_heartbeat.is_none() {
                successors.push(member.address);
            }
        }
        successors
    }

    fn is_member_alive(&self, member: &Member, now: Millis) -> bool {
        member.sent_heartbeat_within(self.failure_timeout_ms(), now) && member.dead_since.is_none()
    }

    /// Returns the time without a heartbeat after which a gateway counts as dead,
    /// in milliseconds.
    fn failure_timeout_ms(&self) -> u64 {
        let rounds = self.members.len().div_ceil(self.batch_size).max(1) as u64;
        MAX_MISSED_ROUNDS * rounds * self.round_interval_ms()
    }
}

/// Returns a gateway's position on the hash ring.
pub fn ring_position(address: Ipv4Addr) -> u64 {
    hash64(&address.octets())
}
