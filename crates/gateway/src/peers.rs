//! State of the other gateways, as received in their heartbeats.

use std::{collections::HashMap, net::Ipv4Addr};

use mimosaledge_core::{Millis, hash::hash64};
use mimosaledge_peer::{CrashReport, Heartbeat, StateSummary, Version};
use mimosaledge_policy::{
    EndpointGroup,
    membership::{FailureReport, Membership, ring_position},
    stream_origins,
};

use crate::{
    crash_news::CrashNews, heard::Heard, loads::Loads, peer::Peer, settings::Settings,
    status::Status,
};

/// Interval after which a gateway prefers another peer to sync from, in
/// milliseconds.
const SOURCE_ROTATION_MS: u64 = 1_000;
/// The other gateways.
#[derive(Debug)]
pub(crate) struct Peers {
    own_address: Ipv4Addr,
    /// Number of gateways that read the endpoint list for the whole fleet.
    list_readers: usize,
    membership: Membership,
    peers: HashMap<Ipv4Addr, Peer>,
    /// What the next heartbeats tell of crashes.
    pub(crate) crash_news: CrashNews,
    /// Whether the next round must reach all peers, also in a large fleet.
    is_urgent: bool,
    /// Status of this gateway in the last round.
    last_status: Status,
    /// Whether the totals in [`Loads`] must be recomputed.
    has_stale_totals: bool,
    /// Earliest version that a live gateway spoke in the last round.
    oldest_version: Version,
}

impl Peers {
    /// Creates the set of peers from the seeds in the settings.
    pub(crate) fn new(settings: &Settings, now: Millis) -> Peers {
        let mut peers = Peers {
            own_address: settings.address,
            list_readers: settings.policy.list_readers,
            membership: Membership::new(settings.address, settings.policy.mesh_peers),
            peers: HashMap::new(),
            crash_news: CrashNews::default(),
            is_urgent: false,
            last_status: Status::default(),
            has_stale_totals: false,
            oldest_version: Version::CURRENT,
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

    /// Returns the number of other gateways that are alive.
    pub(crate) fn count_alive(&self, now: Millis) -> usize {
        self.membership.alive(now).count()
    }

    /// Returns the number of other gateways that are alive or were so lately.
    pub(crate) fn known_count(&self) -> usize {
        self.membership.known_count()
    }

    /// Returns the recipients of urgent messages: all gateways that may be
    /// alive.
    pub(crate) fn urgent_recipients(&self, now: Millis) -> Vec<Ipv4Addr> {
        self.membership.possibly_alive(now).collect()
    }

    /// Returns whether all live gateways spoke `version` or a later one in the last round.
    pub(crate) fn all_speak(&self, version: Version) -> bool {
        self.oldest_version >= version
    }

    /// Returns those of `gateways` that speak `version` or a later one.
    pub(crate) fn speaking(&self, version: Version, gateways: &[Ipv4Addr]) -> Vec<Ipv4Addr> {
        let speaks = |it: &Ipv4Addr| self.version_of(*it) >= version;
        gateways.iter().copied().filter(speaks).collect()
    }

    /// Returns the `count` other gateways that remember the stream that `attempt` began.
    pub(crate) fn stream_holders(&self, attempt: u64, count: usize, now: Millis) -> Vec<Ipv4Addr> {
        stream_origins::holders(attempt, self.membership.possibly_alive(now), count)
    }

    /// Returns whether the fleet is too large to send all gateways a heartbeat
    /// in each round.
    pub(crate) fn is_large(&self) -> bool {
        self.membership.is_large()
    }

    /// Iterates over the live gateways that accept requests.
    pub(crate) fn ready(&self, now: Millis) -> impl Iterator<Item = Ipv4Addr> {
        self.live_peers(now).filter(|(_, it)| it.status.ready).map(|(address, _)| address)
    }

    /// Iterates over the live gateways that accept requests and reach endpoints.
    pub(crate) fn serving(&self, now: Millis) -> impl Iterator<Item = Ipv4Addr> {
        let is_serving = |it: &Peer| it.status.ready && !it.status.cut_off;
        let serving = self.live_peers(now).filter(move |(_, it)| is_serving(it));
        serving.map(|(address, _)| address)
    }

    /// Iterates over the live gateways that this one may hand requests for `group` over to.
    pub(crate) fn handover_targets(
        &self,
        group: &EndpointGroup,
        now: Millis,
    ) -> impl Iterator<Item = Ipv4Addr> {
        let accepts = |it: &Peer| it.version.accepts_handovers() && it.reaches(group);
        let targets = self.live_peers(now).filter(move |(_, it)| it.status.ready && accepts(it));
        targets.map(|(address, _)| address)
    }

    /// Returns the version of the protocol that a gateway speaks, or that of this build as
    /// long as it has sent no heartbeat.
    pub(crate) fn version_of(&self, address: Ipv4Addr) -> Version {
        self.known_version(address).unwrap_or_default()
    }

    /// Returns the hash of the name of a gateway's region, or 0 if it has named none.
    pub(crate) fn region_of(&self, address: Ipv4Addr) -> u32 {
        self.peers.get(&address).map_or(0, |it| it.region)
    }

    /// Returns the version of the protocol that a gateway spoke in its last heartbeat.
    pub(crate) fn known_version(&self, address: Ipv4Addr) -> Option<Version> {
        self.peers.get(&address).map(|it| it.version)
    }

    /// Returns the earliest version that a live gateway speaks, this one included.
    fn oldest_version(&self, now: Millis) -> Version {
        self.live_peers(now).map(|(_, it)| it.version).fold(Version::CURRENT, Version::min)
    }

    /// Returns whether a gateway has this address.
    pub(crate) fn is_known(&self, address: Ipv4Addr) -> bool {
        self.membership.is_known(address)
    }

    /// Returns the gateways that may issue permits: those that are ready and know permits,
    /// and in a large fleet also those of which no heartbeat can be expected yet.
    pub(crate) fn possible_issuers(&self, now: Millis) -> Vec<Ipv4Addr> {
        let can_issue = |it: &Ipv4Addr| self.version_of(*it).has_permits();
        if !self.is_large() {
            return self.ready(now).filter(can_issue).collect();
        }
        let may_be_ready = |it: &Ipv4Addr| self.peers.get(it).is_none_or(|peer| peer.status.ready);
        self.membership.possibly_alive(now).filter(may_be_ready).filter(can_issue).collect()
    }

    /// Returns whether a live gateway has said that it does not accept requests.
    pub(crate) fn is_unready(&self, address: Ipv4Addr, now: Millis) -> bool {
        self.membership.is_alive(address, now)
            && self.peers.get(&address).is_some_and(|it| !it.status.ready)
    }

    /// Updates the totals in `loads` from the last heartbeats of live gateways,
    /// if these have changed.
    pub(crate) fn update_loads(&mut self, loads: &mut Loads, now: Millis) {
        if !std::mem::take(&mut self.has_stale_totals) {
            return;
        }
        loads.set_sampled(self.is_large());
        let counted_at: Vec<Millis> = self.live_peers(now).map(|(_, it)| it.heard_at).collect();
        let requests = self.live_peers(now).flat_map(|(_, it)| &it.request_counts);
        loads.set_peer_requests(requests, &counted_at, now);
        loads.set_peer_outcomes(self.live_peers(now).flat_map(|(_, it)| &it.outcomes));
    }

    /// Returns the latest version of the configuration that a live gateway has.
    pub(crate) fn latest_version(&self, now: Millis) -> Option<u64> {
        self.live_peers(now).map(|(_, it)| it.summary.version).max()
    }

    /// Returns a live gateway with a newer configuration than `own`, or, if
    /// `include_list` is set, with a different and newer endpoint list.
    ///
    /// The choice among several depends on the gateway and changes every
    /// [`SOURCE_ROTATION_MS`], which spreads the load of syncing.
    pub(crate) fn find_newer(
        &self,
        own: StateSummary,
        include_list: bool,
        now: Millis,
    ) -> Option<Ipv4Addr> {
        let has_newer_list = |it: StateSummary| {
            include_list && it.digest != own.digest && it.position > own.position
        };
        let salt =
            ring_position(self.own_address) ^ hash64(&(now.0 / SOURCE_ROTATION_MS).to_le_bytes());
        self.live_peers(now)
            .filter(|(_, it)| it.summary.version > own.version || has_newer_list(it.summary))
            .max_by_key(|(address, it)| {
                let version = it.summary.version.max(own.version);
                (version, ring_position(*address) ^ salt)
            })
            .map(|(address, _)| address)
    }

    /// Returns whether this gateway is one of the gateways that read
    /// the endpoint list from the store: those with the highest ring positions
    /// among the gateways that have a list.
    pub(crate) fn is_reader(&self, now: Millis) -> bool {
        self.count_preceding(|it| it.summary.position.offset > 0, now) < self.list_readers
    }

    /// Returns whether this gateway is one of those that record builds in the store: as many,
    /// chosen in the same way among the gateways that know of such records.
    pub(crate) fn is_recorder(&self, now: Millis) -> bool {
        let can_record = |it: &Peer| it.summary.position.offset > 0 && it.version.knows_builds();
        self.count_preceding(can_record, now) < self.list_readers
    }

    /// Counts the gateways with a higher ring position that fulfil a condition.
    fn count_preceding(&self, condition: impl Fn(&Peer) -> bool, now: Millis) -> usize {
        let own_position = ring_position(self.own_address);
        let preceding =
            self.membership.possibly_alive(now).filter(|it| ring_position(*it) > own_position);
        // In a large fleet it takes long to receive a heartbeat from every gateway, so those
        // without one are assumed to fulfil it.
        let is_counted = |it: &Ipv4Addr| self.peers.get(it).map_or(self.is_large(), &condition);
        preceding.filter(is_counted).count()
    }

    /// Adds a request that was in flight at an endpoint when it crashed to the
    /// next heartbeats.
    pub(crate) fn report_crash(&mut self, crash: CrashReport, now: Millis) {
        self.crash_news.add_crash(crash, now);
        self.is_urgent = true;
    }

    /// Returns the report of suspected and failed gateways to send.
    pub(crate) fn failure_report(&self, now: Millis) -> FailureReport {
        self.membership.failure_report(now)
    }

    /// Records the summary of a peer's configuration and endpoint list.
    pub(crate) fn record_summary(&mut self, from: Ipv4Addr, summary: StateSummary) {
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.summary = summary;
        }
    }

    /// Records a heartbeat; returns what it has changed.
    pub(crate) fn record_heartbeat(
        &mut self,
        from: Ipv4Addr,
        version: Version,
        heartbeat: Heartbeat,
        now: Millis,
    ) -> Heard {
        let was_alive = self.membership.is_alive(from, now);
        self.membership.record_heartbeat(from, now);
        self.membership.apply_report(&heartbeat.failure_report, from, now);
        for address in heartbeat.known_peers {
            self.add(address, now);
        }
        let peer = self.peers.entry(from).or_default();
        let status = Status { ready: heartbeat.ready, cut_off: heartbeat.cut_off };
        let has_changed = (peer.status, peer.version) != (status, version)
            || peer.unreached != heartbeat.unreached
            || !was_alive;
        if has_changed {
            spdlog::info!(
                "peer: address={from} ready={} cut_off={} unreached={} version={} \
                 protocol={version}",
                heartbeat.ready,
                heartbeat.cut_off,
                heartbeat.unreached.len(),
                heartbeat.summary.version
            );
        }
        let has_become_ready = status.ready && (!peer.status.ready || !was_alive);
        peer.status = status;
        peer.unreached = heartbeat.unreached;
        peer.version = version;
        peer.region = heartbeat.extension.region;
        peer.summary = heartbeat.summary;
        peer.heard_at = now;
        peer.request_counts = heartbeat.request_counts;
        peer.outcomes = heartbeat.outcomes;
        self.has_stale_totals = true;
        Heard { has_joined: !was_alive, has_become_ready }
    }

    /// Starts a round of a gateway with this status; returns the recipients of a heartbeat of
    /// `bytes` of payload.
    pub(crate) fn begin_round(
        &mut self,
        round: u64,
        status: Status,
        bytes: usize,
        now: Millis,
    ) -> Vec<Ipv4Addr> {
        self.crash_news.remove_old(now);
        for address in self.membership.remove_silent(now) {
            self.peers.remove(&address);
        }
        self.log_oldest_version(now);
        // Peers whose heartbeats have stopped no longer count in the totals.
        self.has_stale_totals = true;
        let is_urgent = std::mem::take(&mut self.is_urgent) || status != self.last_status;
        self.last_status = status;
        if is_urgent && self.is_large() {
            return self.urgent_recipients(now);
        }
        self.membership.recipients(round, bytes, now)
    }

    /// Logs the earliest version of a live gateway when it changes.
    fn log_oldest_version(&mut self, now: Millis) {
        let oldest = self.oldest_version(now);
        let before = std::mem::replace(&mut self.oldest_version, oldest);
        if oldest != before {
            spdlog::info!(
                "peer: oldest_protocol={oldest} before={before} own={} permits_from_all={}",
                Version::CURRENT,
                oldest.has_permits()
            );
        }
    }

    /// Returns the interval until the next round, in milliseconds.
    pub(crate) fn round_interval_ms(&self) -> u64 {
        self.membership.round_interval_ms()
    }

    fn live_peers(&self, now: Millis) -> impl Iterator<Item = (Ipv4Addr, &Peer)> {
        self.membership
            .alive(now)
            .filter_map(|address| self.peers.get(&address).map(|it| (address, it)))
    }
}
