//! The other gateways, as their heartbeats describe them.

use std::{collections::HashMap, net::Ipv4Addr};

use mimosaledge_core::{Millis, hash::hash64};
use mimosaledge_policy::membership::{FailureReport, Membership, ring_position};

use crate::{
    heartbeat::{Death, Heartbeat, Stamp},
    loads::{Load, Loads, Outcomes},
    settings::Settings,
};

/// Gateways that read the list of endpoints for all.
const READERS: usize = 2;
/// Time for which a death is told, in milliseconds.
const TELL_DEATH_MS: u64 = 3_000;
/// Time for which the same gateway is preferred for a copy, in milliseconds.
const PREFER_MS: u64 = 1_000;
/// Most deaths in one heartbeat.
const MAX_DEATHS: usize = 24;

#[derive(Debug, Default)]
struct Peer {
    ready: bool,
    stamp: Stamp,
    loads: Vec<Load>,
    outcomes: Vec<Outcomes>,
}

/// The other gateways.
#[derive(Debug)]
pub(crate) struct Peers {
    own: Ipv4Addr,
    membership: Membership,
    peers: HashMap<Ipv4Addr, Peer>,
    deaths: Vec<(Death, Millis)>,
    /// Whether something must be told to all in the next round.
    is_urgent: bool,
    was_ready: bool,
    /// Whether the sums of what was told are out of date.
    is_stale: bool,
}

impl Peers {
    /// Starts with the gateways that the settings name.
    pub(crate) fn new(settings: &Settings, now: Millis) -> Peers {
        let mut peers = Peers {
            own: settings.address,
            membership: Membership::new(settings.address),
            peers: HashMap::new(),
            deaths: Vec::new(),
            is_urgent: false,
            was_ready: false,
            is_stale: false,
        };
        for seed in settings.seeds.iter().flatten() {
            peers.add(*seed.ip(), now);
        }
        peers
    }

    /// Adds a gateway that may be alive.
    pub(crate) fn add(&mut self, address: Ipv4Addr, now: Millis) {
        self.membership.add(address, now);
    }

    /// Returns how many other gateways are alive.
    pub(crate) fn count_alive(&self, now: Millis) -> usize {
        self.membership.alive(now).count()
    }

    /// Returns the gateways to which what cannot wait is sent.
    pub(crate) fn to_tell(&self, now: Millis) -> Vec<Ipv4Addr> {
        self.membership.possibly_alive(now).collect()
    }

    /// Returns whether the fleet is too large to tell all in each round.
    pub(crate) fn is_large(&self) -> bool {
        self.membership.is_large()
    }

    /// Returns the gateways that take requests.
    pub(crate) fn ready(&self, now: Millis) -> impl Iterator<Item = Ipv4Addr> {
        self.heard(now).filter(|(_, it)| it.ready).map(|(address, _)| address)
    }

    /// Brings `loads` up to date with what live gateways have told.
    pub(crate) fn sum_up(&mut self, loads: &mut Loads, now: Millis) {
        if !std::mem::take(&mut self.is_stale) {
            return;
        }
        loads.set_sampled(self.is_large());
        loads.set_at_peers(self.heard(now).flat_map(|(_, it)| &it.loads));
        loads.set_outcomes(self.heard(now).flat_map(|(_, it)| &it.outcomes));
    }

    /// Returns a live gateway that knows a later configuration than `own`, or
    /// another list of endpoints that is later, if `lists` are asked for.
    ///
    /// Each gateway prefers another one, and another a second later, so that
    /// not all copy from the same.
    pub(crate) fn ahead(&self, own: Stamp, lists: bool, now: Millis) -> Option<Ipv4Addr> {
        let has_list = |it: Stamp| lists && it.digest != own.digest && it.offset > own.offset;
        let salt = ring_position(self.own) ^ hash64(&(now.0 / PREFER_MS).to_le_bytes());
        self.heard(now)
            .filter(|(_, it)| it.stamp.version > own.version || has_list(it.stamp))
            .max_by_key(|(address, it)| {
                let version = it.stamp.version.max(own.version);
                (version, ring_position(*address) ^ salt)
            })
            .map(|(address, _)| address)
    }

    /// Returns whether this gateway is one of the [`READERS`] that read the
    /// list of endpoints for all.
    pub(crate) fn is_reader(&self, now: Millis) -> bool {
        let own = ring_position(self.own);
        let able = |address: &Ipv4Addr| match self.peers.get(address) {
            Some(peer) => peer.stamp.offset > 0,
            // In a large fleet it takes long to hear all.
            None => self.is_large(),
        };
        let before = self.membership.possibly_alive(now).filter(|it| ring_position(*it) > own);
        before.filter(able).count() < READERS
    }

    /// Tells the others of a request that was open when an endpoint died.
    pub(crate) fn tell_death(&mut self, fingerprint: u64, endpoint: u64, now: Millis) {
        self.deaths.push((Death { fingerprint, endpoint }, now));
        self.is_urgent = true;
    }

    /// Returns the deaths to tell, the latest first.
    pub(crate) fn deaths(&self) -> Vec<Death> {
        self.deaths.iter().rev().take(MAX_DEATHS).map(|(death, _)| *death).collect()
    }

    /// Returns the gateways to report as silent or dead.
    pub(crate) fn losses(&self, now: Millis) -> FailureReport {
        self.membership.failure_report(now)
    }

    /// Takes in which list another gateway has.
    pub(crate) fn receive_stamp(&mut self, from: Ipv4Addr, stamp: Stamp) {
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.stamp = stamp;
        }
    }

    /// Takes in a heartbeat.
    pub(crate) fn receive(&mut self, from: Ipv4Addr, beat: Heartbeat, now: Millis) {
        let was_alive = self.membership.is_alive(from, now);
        self.membership.record_heartbeat(from, now);
        self.membership.apply_report(&beat.losses, from, now);
        for address in beat.known {
            self.add(address, now);
        }
        let peer = self.peers.entry(from).or_default();
        if peer.ready != beat.ready || !was_alive {
            let version = beat.stamp.version;
            spdlog::info!("peer: address={from} ready={} version={version}", beat.ready);
        }
        peer.ready = beat.ready;
        peer.stamp = beat.stamp;
        peer.loads = beat.loads;
        peer.outcomes = beat.outcomes;
        self.is_stale = true;
    }

    /// Begins a round; returns the gateways to tell with datagrams of `bytes`.
    pub(crate) fn begin_round(
        &mut self,
        round: u64,
        ready: bool,
        bytes: usize,
        now: Millis,
    ) -> Vec<Ipv4Addr> {
        self.deaths.retain(|(_, at)| now.since(*at) < TELL_DEATH_MS);
        for address in self.membership.remove_silent(now) {
            self.peers.remove(&address);
        }
        // Silence changes the sums as well.
        self.is_stale = true;
        let is_urgent = std::mem::take(&mut self.is_urgent) || ready != self.was_ready;
        self.was_ready = ready;
        if is_urgent && self.is_large() {
            return self.to_tell(now);
        }
        self.membership.recipients(round, bytes, now)
    }

    /// Returns the pause until the next round, in milliseconds.
    pub(crate) fn pause_ms(&self) -> u64 {
        self.membership.round_interval_ms()
    }

    fn heard(&self, now: Millis) -> impl Iterator<Item = (Ipv4Addr, &Peer)> {
        self.membership
            .alive(now)
            .filter_map(|address| self.peers.get(&address).map(|it| (address, it)))
    }
}
