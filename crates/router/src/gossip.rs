//! Gossip of heartbeats and endpoint states between routers.
//!
//! In each round a router sends one datagram to each of a few random peers. Items
//! that have been sent least often come first, so that changes spread quickly and
//! all items take turns within the size limit of a datagram.

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
    node::{Node, RouterState},
    peer,
};

/// Delay of a round from which this process counts as paused, in milliseconds.
const PAUSE_THRESHOLD_MS: u64 = 1_000;
/// Time after startup during which the rate limit does not apply, in
/// milliseconds.
const STARTUP_PERIOD_MS: u64 = 10_000;
/// Maximum number of full heartbeats of other routers in a datagram, about 44
/// bytes each.
const MAX_FULL_HEARTBEATS: usize = 11;
/// Number of times that a heartbeat is sent in full after a change; afterwards it
/// is sent in compact form.
const FULL_HEARTBEAT_SENDS: u32 = 6;
/// Maximum number of compact heartbeats in a datagram, about 8 bytes each, if it
/// holds at most [`COMPACT_REDUCTION_THRESHOLD`] full ones.
const MAX_COMPACT_HEARTBEATS: usize = 60;
/// Maximum number of compact heartbeats in a datagram with more full ones.
const REDUCED_COMPACT_HEARTBEATS: usize = 20;
/// Maximum number of full heartbeats, the own one included, that leave room for
/// [`MAX_COMPACT_HEARTBEATS`] compact ones.
const COMPACT_REDUCTION_THRESHOLD: usize = 4;
/// Maximum number of endpoint states in a datagram, about 24 bytes each.
const MAX_ENDPOINT_STATUSES: usize = 24;
/// Age from which an endpoint state is no longer relayed, in milliseconds.
const MAX_OBSERVATION_AGE_MS: u64 = 5_000;

/// Endpoint observations to gossip, and how often each observation and heartbeat has
/// been sent.
#[derive(Debug, Default)]
pub(crate) struct GossipQueue {
    observations: BTreeMap<EndpointId, Observation>,
    /// Number of full heartbeats sent since the last change, by router.
    full_sends: HashMap<u32, u32>,
    /// Number of times that the latest sequence number was sent, by router.
    compact_sends: HashMap<u32, u32>,
}

#[derive(Debug, Clone, Copy)]
struct Observation {
    observed_at: Millis,
    sends: u32,
}

impl GossipQueue {
    /// Records that the state of an endpoint was observed at `observed_at`; returns
    /// whether that is newer than the known observation.
    pub(crate) fn record_observation(&mut self, endpoint: EndpointId, observed_at: Millis) -> bool {
        if self.observations.get(&endpoint).is_some_and(|known| known.observed_at >= observed_at) {
            return false;
        }
        self.observations.insert(endpoint, Observation { observed_at, sends: 0 });
        true
    }

    /// Selects the endpoints sent least often, with the age of their observations in
    /// milliseconds, and counts them as sent.
    fn select_endpoints(&mut self, now: Millis) -> Vec<(EndpointId, u64)> {
        let mut recent: Vec<(&EndpointId, &mut Observation)> = self
            .observations
            .iter_mut()
            .filter(|(_, it)| now.since(it.observed_at) < MAX_OBSERVATION_AGE_MS)
            .collect();
        recent.sort_by_key(|(_, it)| it.sends);
        recent.truncate(MAX_ENDPOINT_STATUSES);
        recent
            .into_iter()
            .map(|(&endpoint, it)| {
                it.sends += 1;
                (endpoint, now.since(it.observed_at))
            })
            .collect()
    }

    /// Selects heartbeats that must be sent in full because they are new or changed,
    /// those sent least often first, and counts them as sent.
    fn select_full_heartbeats(&mut self, heartbeats: &[Heartbeat]) -> Vec<Heartbeat> {
        let sends = &mut self.full_sends;
        let needs_full = |it: &&Heartbeat| {
            sends.get(&it.router.id).is_none_or(|count| *count < FULL_HEARTBEAT_SENDS)
        };
        let changed: Vec<Heartbeat> = heartbeats.iter().filter(needs_full).copied().collect();
        select_least_sent(sends, &changed, MAX_FULL_HEARTBEATS)
    }

    /// Selects the `count` heartbeats sent least often, in compact form, and counts them
    /// as sent.
    fn select_compact_heartbeats(
        &mut self,
        heartbeats: &[Heartbeat],
        count: usize,
    ) -> Vec<CompactHeartbeat> {
        let selected = select_least_sent(&mut self.compact_sends, heartbeats, count);
        selected
            .iter()
            .map(|it| CompactHeartbeat { run: it.router.tag(), sequence: it.sequence })
            .collect()
    }
}

/// Selects the `count` heartbeats sent least often, and counts them as sent.
fn select_least_sent(
    sends: &mut HashMap<u32, u32>,
    heartbeats: &[Heartbeat],
    count: usize,
) -> Vec<Heartbeat> {
    let mut selected = heartbeats.to_vec();
    selected.sort_by_key(|it| sends.get(&it.router.id).copied().unwrap_or(0));
    selected.truncate(count);
    for heartbeat in &selected {
        *sends.entry(heartbeat.router.id).or_default() += 1;
    }
    selected
}

/// Runs gossip rounds until it is dropped.
pub(crate) async fn run(node: Rc<Node>) {
    loop {
        let sent = send_round(&node);
        expire_state(&node);
        let interval = round_interval_ms(&node, sent);
        let slept_at = node.now();
        time::sleep(Duration::from_millis(interval)).await;
        let delay = node.now().since(slept_at).saturating_sub(interval);
        if delay >= PAUSE_THRESHOLD_MS {
            warn!("gossip: process was paused for {delay} ms");
            node.state.borrow_mut().members.compensate_pause(delay);
        }
    }
}

/// Returns the time until the next round.
///
/// Datagrams grow with the fleet up to their size limit, so rounds are spaced out
/// to stay within the byte rate. The rate limit does not apply during startup,
/// when a router must make itself known quickly.
fn round_interval_ms(node: &Node, sent: u64) -> u64 {
    let limits = &node.settings.limits;
    if node.now().0 < STARTUP_PERIOD_MS {
        return limits.gossip_ms;
    }
    limits.gossip_ms.max(sent * 1_000 / limits.gossip_bytes)
}

/// Sends one round of gossip to a few peers; returns the number of bytes sent.
pub(crate) fn send_round(node: &Node) -> u64 {
    let now = node.now();
    update_own_heartbeat(node, now);
    let mut sent = 0;
    for peer in choose_peers(node, now) {
        let gossip = build_gossip(&mut node.state.borrow_mut(), now);
        sent += peer::send(node, peer, &Message::Gossip(gossip));
    }
    sent
}

/// Sends gossip to every peer at once, for changes that cannot wait for the next
/// rounds.
pub(crate) fn broadcast(node: &Node) {
    let now = node.now();
    update_own_heartbeat(node, now);
    let gossip = build_gossip(&mut node.state.borrow_mut(), now);
    peer::broadcast(node, &Message::Gossip(gossip));
}

/// Updates this router's own heartbeat and increments its sequence number.
fn update_own_heartbeat(node: &Node, now: Millis) {
    let phase = node.phase();
    let state = &mut *node.state.borrow_mut();
    let head = state.head_replica.head_offset().map_or(0, |offset| offset + 1);
    state.members.update_own(now, |own| {
        own.phase = phase;
        own.head = head;
    });
}

/// Chooses the peers of one round: a few random live ones, or the seeds while no
/// live peer is known.
fn choose_peers(node: &Node, now: Millis) -> Vec<SocketAddr> {
    let fanout = node.settings.limits.gossip_fanout;
    let mut peers: Vec<SocketAddr> =
        node.state.borrow().members.peers(now).map(|it| it.heartbeat.peer).collect();
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

fn build_gossip(state: &mut RouterState, now: Millis) -> Gossip {
    let own = state.members.own_heartbeat();
    // A router known only from the VM list has sent no heartbeat that could be relayed.
    let peers = state.members.peers(now).map(|it| it.heartbeat);
    let others: Vec<Heartbeat> = peers.filter(|it| it.router.incarnation != 0).collect();
    let mut heartbeats = vec![own];
    heartbeats.extend(state.gossip_queue.select_full_heartbeats(&others));
    let max_compact = if heartbeats.len() <= COMPACT_REDUCTION_THRESHOLD {
        MAX_COMPACT_HEARTBEATS
    } else {
        REDUCED_COMPACT_HEARTBEATS
    };
    let compact_heartbeats = state.gossip_queue.select_compact_heartbeats(&others, max_compact);
    let recent = state.gossip_queue.select_endpoints(now);
    let statuses = recent
        .into_iter()
        .filter_map(|(id, age)| Some(endpoint_status(state.endpoints.get(id)?, age)))
        .collect();
    Gossip { sender: own.router, heartbeats, compact_heartbeats, endpoint_statuses: statuses }
}

fn endpoint_status(endpoint: &Endpoint, age: u64) -> EndpointStatus {
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

/// Merges gossip received from a peer.
pub(crate) fn merge(node: &Node, gossip: Gossip) {
    let now = node.now();
    let own_head = node.state.borrow().head_replica.head_offset().map_or(0, |offset| offset + 1);
    let is_behind = gossip.heartbeats.iter().any(|it| it.head > own_head);
    let state = &mut *node.state.borrow_mut();
    for heartbeat in gossip.heartbeats {
        merge_heartbeat(state, heartbeat, now);
    }
    for compact in gossip.compact_heartbeats {
        if let Some(id) = state.members.merge_compact_heartbeat(compact.run, compact.sequence, now)
        {
            state.gossip_queue.compact_sends.insert(id, 0);
        }
    }
    for status in gossip.endpoint_statuses {
        merge_endpoint_status(state, &status, now);
    }
    if is_behind {
        node.peer_ahead.notify_one();
    }
}

fn merge_heartbeat(state: &mut RouterState, heartbeat: Heartbeat, now: Millis) {
    let id = heartbeat.router.id;
    let known = state.members.get(id).map(|it| it.heartbeat);
    if !state.members.merge_heartbeat(heartbeat, now) {
        return;
    }
    state.gossip_queue.compact_sends.insert(id, 0);
    if known.is_none_or(|known| !known.equals_except_sequence(&heartbeat)) {
        state.gossip_queue.full_sends.insert(id, 0);
    }
}

fn merge_endpoint_status(state: &mut RouterState, status: &EndpointStatus, now: Millis) {
    let id = status.endpoint;
    // The admission home probes its endpoints itself.
    if state.members.admission_home(id.0, now).router == state.members.own_router() {
        return;
    }
    let observed_at = now - u64::from(status.age_ms);
    if !state.gossip_queue.record_observation(id, observed_at) {
        return;
    }
    let report = LoadReport {
        incarnation: status.incarnation,
        load: status.reported_load,
        leaving: status.leaving,
        model: status.model,
    };
    if let Some(endpoint) = state.endpoints.get_mut(id) {
        endpoint.apply_report(report, status.up, now);
    }
    loads::record(state, id, status.admitted_load, observed_at);
}

/// Removes expired routers and keys, and the admission state of dead routers.
fn expire_state(node: &Node) {
    let now = node.now();
    let mut guard = node.state.borrow_mut();
    let state = &mut *guard;
    state.members.remove_expired(now);
    state.key_home.expire(now);
    state.key_witness.expire(now);
    drop(guard);
    admission::remove_grants_of_dead_routers(node);
}
