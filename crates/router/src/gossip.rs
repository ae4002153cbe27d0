//! Gossip of heartbeats and endpoint states between routers.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use mimosaledge_core::{
    Millis,
    endpoints::{Endpoint, EndpointId, LoadReport},
    hash::hash64,
    members::Heartbeat,
};
use mimosaledge_wire::{CompactHeartbeat, EndpointStatus, Gossip, Message};
use spdlog::warn;
use tokio::time;

use crate::{
    admission, loads,
    node::{Cores, Node},
    peer,
};

/// Lateness of a round from which this process counts as paused, in
/// milliseconds.
const PAUSED_MS: u64 = 1_000;
/// Time after the start during which the byte rate does not hold, in
/// milliseconds.
const STARTING_MS: u64 = 10_000;
/// Whole heartbeats of others in one datagram; about 44 bytes each.
const MAX_HEARTBEATS: usize = 11;
/// Times that a whole heartbeat is told after it changed; later the short one
/// will do.
const TELL_WHOLE: u32 = 6;
/// Short heartbeats in one datagram, about 8 bytes each, if it has no more than
/// [`FEW_HEARTBEATS`] whole ones.
const MAX_BEATS: usize = 60;
/// Short heartbeats in a datagram with more whole ones.
const SOME_BEATS: usize = 20;
/// Whole heartbeats that leave room for [`MAX_BEATS`].
const FEW_HEARTBEATS: usize = 4;
/// Endpoint states in one datagram; about 24 bytes each.
const MAX_STATEMENTS: usize = 24;
/// Age from which a statement is not passed on, in milliseconds.
const MAX_AGE_MS: u64 = 5_000;

/// What a router has to tell, and how often it has told it.
#[derive(Debug, Default)]
pub(crate) struct Digest {
    observed: BTreeMap<EndpointId, Observation>,
    /// Times that a router's whole heartbeat was told since it changed.
    told_whole: HashMap<u32, u32>,
    /// Times that a router's latest count was told.
    told_beats: HashMap<u32, u32>,
}

#[derive(Debug, Clone, Copy)]
struct Observation {
    at: Millis,
    told: u32,
}

impl Digest {
    /// Notes that the state of an endpoint was observed at `at`; returns
    /// whether that is news.
    pub(crate) fn observe(&mut self, endpoint: EndpointId, at: Millis) -> bool {
        if self.observed.get(&endpoint).is_some_and(|known| known.at >= at) {
            return false;
        }
        self.observed.insert(endpoint, Observation { at, told: 0 });
        true
    }

    /// Returns the endpoints least often told about, and counts them as told.
    fn take_endpoints(&mut self, now: Millis) -> Vec<(EndpointId, u64)> {
        let mut young: Vec<(&EndpointId, &mut Observation)> =
            self.observed.iter_mut().filter(|(_, it)| now.since(it.at) < MAX_AGE_MS).collect();
        young.sort_by_key(|(_, it)| it.told);
        young.truncate(MAX_STATEMENTS);
        young
            .into_iter()
            .map(|(&endpoint, it)| {
                it.told += 1;
                (endpoint, now.since(it.at))
            })
            .collect()
    }

    /// Returns the whole heartbeats that are new or changed, least often told
    /// first, and counts them as told.
    fn take_heartbeats(&mut self, known: &[Heartbeat]) -> Vec<Heartbeat> {
        let told = &mut self.told_whole;
        let is_new =
            |it: &&Heartbeat| told.get(&it.router.id).is_none_or(|count| *count < TELL_WHOLE);
        let new: Vec<Heartbeat> = known.iter().filter(is_new).copied().collect();
        take_least_told(told, &new, MAX_HEARTBEATS)
    }

    /// Returns the counts least often told, and counts them as told.
    fn take_beats(&mut self, known: &[Heartbeat], count: usize) -> Vec<CompactHeartbeat> {
        let taken = take_least_told(&mut self.told_beats, known, count);
        taken
            .iter()
            .map(|it| CompactHeartbeat { run: it.router.tag(), sequence: it.sequence })
            .collect()
    }
}

fn take_least_told(
    told: &mut HashMap<u32, u32>,
    known: &[Heartbeat],
    count: usize,
) -> Vec<Heartbeat> {
    let mut taken = known.to_vec();
    taken.sort_by_key(|it| told.get(&it.router.id).copied().unwrap_or(0));
    taken.truncate(count);
    for heartbeat in &taken {
        *told.entry(heartbeat.router.id).or_default() += 1;
    }
    taken
}

/// Tells a few peers each round until it is dropped.
pub(crate) async fn run(node: Rc<Node>) {
    loop {
        let sent = tell(&node);
        housekeep(&node);
        let pause = round_ms(&node, sent);
        let slept_at = node.now();
        time::sleep(Duration::from_millis(pause)).await;
        let late = node.now().since(slept_at).saturating_sub(pause);
        if late >= PAUSED_MS {
            warn!("gossip: this process was paused for {late} ms");
            node.cores.borrow_mut().members.compensate_pause(late);
        }
    }
}

/// Returns the time until the next round: datagrams grow with the fleet up to
/// their limit, and rounds are spaced out to stay within the byte rate. A router
/// that has just started must make itself known, and does not wait.
fn round_ms(node: &Node, sent: u64) -> u64 {
    let limits = &node.settings.limits;
    if node.now().0 < STARTING_MS {
        return limits.gossip_ms;
    }
    limits.gossip_ms.max(sent * 1_000 / limits.gossip_bytes)
}

/// Tells a few peers what this router has heard lately; returns the bytes that
/// it took.
pub(crate) fn tell(node: &Node) -> u64 {
    let now = node.now();
    beat(node, now);
    let mut sent = 0;
    for peer in choose_peers(node, now) {
        let gossip = make_gossip(&mut node.cores.borrow_mut(), now);
        sent += peer::send(node, peer, &Message::Gossip(gossip));
    }
    sent
}

/// Tells every peer, for changes that cannot wait for their turn.
pub(crate) fn tell_all(node: &Node) {
    let now = node.now();
    beat(node, now);
    let gossip = make_gossip(&mut node.cores.borrow_mut(), now);
    peer::broadcast(node, &Message::Gossip(gossip));
}

fn beat(node: &Node, now: Millis) {
    let phase = node.phase();
    let cores = &mut *node.cores.borrow_mut();
    let head = cores.fold.head_offset().map_or(0, |offset| offset + 1);
    cores.members.update_own(now, |own| {
        own.phase = phase;
        own.head = head;
    });
}

/// Picks the peers of one round: a few live ones at random, or the seeds as
/// long as no peer is known.
fn choose_peers(node: &Node, now: Millis) -> Vec<SocketAddr> {
    let fanout = node.settings.limits.gossip_fanout;
    let mut peers: Vec<SocketAddr> =
        node.cores.borrow().members.peers(now).map(|it| it.heartbeat.peer).collect();
    if peers.is_empty() {
        peers = node.settings.seeds.clone();
        peers.retain(|it| *it != node.settings.peer);
        return peers;
    }
    let salt = node.own.incarnation ^ now.0;
    peers.sort_by_key(|it| hash64(&[&salt.to_le_bytes()[..], &it.port().to_le_bytes()].concat()));
    peers.truncate(fanout);
    peers
}

fn make_gossip(cores: &mut Cores, now: Millis) -> Gossip {
    let own = cores.members.own_heartbeat();
    // Routers that are listed but were never heard have nothing to be told of.
    let peers = cores.members.peers(now).map(|it| it.heartbeat);
    let others: Vec<Heartbeat> = peers.filter(|it| it.router.incarnation != 0).collect();
    let mut heartbeats = vec![own];
    heartbeats.extend(cores.digest.take_heartbeats(&others));
    let room = if heartbeats.len() <= FEW_HEARTBEATS { MAX_BEATS } else { SOME_BEATS };
    let beats = cores.digest.take_beats(&others, room);
    let young = cores.digest.take_endpoints(now);
    let statements = young
        .into_iter()
        .filter_map(|(id, age)| Some(make_statement(cores.endpoints.get(id)?, age)))
        .collect();
    Gossip {
        sender: own.router,
        heartbeats,
        compact_heartbeats: beats,
        endpoint_statuses: statements,
    }
}

fn make_statement(endpoint: &Endpoint, age: u64) -> EndpointStatus {
    EndpointStatus {
        endpoint: endpoint.id(),
        incarnation: endpoint.report.incarnation,
        age_ms: age as u32,
        reported_load: endpoint.report.load,
        admitted_load: endpoint.admitted,
        model: endpoint.report.model,
        up: endpoint.health() != "down",
        leaving: endpoint.is_leaving(),
    }
}

/// Takes in what a peer has heard.
pub(crate) fn absorb(node: &Node, gossip: Gossip) {
    let now = node.now();
    let own_head = node.cores.borrow().fold.head_offset().map_or(0, |offset| offset + 1);
    let behind = gossip.heartbeats.iter().any(|it| it.head > own_head);
    let cores = &mut *node.cores.borrow_mut();
    for heartbeat in gossip.heartbeats {
        absorb_heartbeat(cores, heartbeat, now);
    }
    for beat in gossip.compact_heartbeats {
        if let Some(id) = cores.members.merge_short_heartbeat(beat.run, beat.sequence, now) {
            cores.digest.told_beats.insert(id, 0);
        }
    }
    for statement in gossip.endpoint_statuses {
        absorb_statement(cores, &statement, now);
    }
    if behind {
        node.changed.notify_one();
    }
}

fn absorb_heartbeat(cores: &mut Cores, heartbeat: Heartbeat, now: Millis) {
    let id = heartbeat.router.id;
    let known = cores.members.get(id).map(|it| it.heartbeat);
    if !cores.members.merge_heartbeat(heartbeat, now) {
        return;
    }
    cores.digest.told_beats.insert(id, 0);
    if known.is_none_or(|known| !known.equals_except_sequence(&heartbeat)) {
        cores.digest.told_whole.insert(id, 0);
    }
}

fn absorb_statement(cores: &mut Cores, statement: &EndpointStatus, now: Millis) {
    let id = statement.endpoint;
    // The admission home knows its endpoints at first hand.
    if cores.members.admission_home(id.0, now).router == cores.members.own_router() {
        return;
    }
    let at = now - u64::from(statement.age_ms);
    if !cores.digest.observe(id, at) {
        return;
    }
    let report = LoadReport {
        incarnation: statement.incarnation,
        load: statement.reported_load,
        leaving: statement.leaving,
        model: statement.model,
    };
    if let Some(endpoint) = cores.endpoints.get_mut(id) {
        endpoint.apply_report(report, statement.up, now);
    }
    loads::record(cores, id, statement.admitted_load, at);
}

/// Forgets what is old.
fn housekeep(node: &Node) {
    let now = node.now();
    let mut guard = node.cores.borrow_mut();
    let cores = &mut *guard;
    cores.members.remove_expired(now);
    cores.home.expire(now);
    cores.witness.expire(now);
    drop(guard);
    admission::remove_grants_of_dead_routers(node);
}
