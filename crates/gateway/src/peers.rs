//! Heartbeats between gateways.
//!
//! Each gateway tells the others whether it is ready, which configuration and
//! list of endpoints it has, and how many requests it has at each endpoint.

use std::{
    cell::Cell,
    collections::HashMap,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use mimosaledge_core::Millis;
use serde::{Deserialize, Serialize};
use tokio::{net::UdpSocket, task::spawn_local, time};

use crate::{gateway::Gateway, settings::Settings, sync};

/// Shortest pause between two rounds of heartbeats, in milliseconds.
const ROUND_MS: u64 = 400;
/// Pause that each further gateway adds, in milliseconds, so that the traffic
/// of one gateway stays the same however many there are.
const ROUND_MS_PER_PEER: u64 = 20;
/// Rounds without a heartbeat after which a gateway is taken for dead.
const DEAD_ROUNDS: u64 = 4;
/// Dead gateways are sent a heartbeat once in so many rounds.
const DEAD_EVERY: u64 = 6;
/// Time after which a dead gateway is forgotten, in milliseconds.
const FORGET_MS: u64 = 60_000;
/// Other gateways named in a heartbeat.
const NAMED_PEERS: usize = 12;
/// Time for which a death is told, in milliseconds.
const TELL_DEATH_MS: u64 = 3_000;
/// Most deaths in one heartbeat.
const MAX_DEATHS: usize = 24;
/// Largest datagram, in bytes.
const MAX_DATAGRAM: usize = 8 * 1024;

/// A request that was open when an endpoint died.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Death {
    fingerprint: u64,
    endpoint: u64,
}

/// Requests that a gateway has at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Load {
    endpoint: u32,
    requests: u16,
}

/// What one gateway tells the others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Heartbeat {
    ready: bool,
    version: u64,
    offset: u64,
    loads: Vec<Load>,
    deaths: Vec<Death>,
    known: Vec<Ipv4Addr>,
}

#[derive(Debug, Default)]
struct Peer {
    heard: Option<Millis>,
    added: Millis,
    ready: bool,
    version: u64,
    offset: u64,
    loads: Vec<Load>,
}

/// The other gateways.
#[derive(Debug)]
pub(crate) struct Peers {
    own: Ipv4Addr,
    peers: HashMap<Ipv4Addr, Peer>,
    loads: HashMap<u32, u32>,
    deaths: Vec<(Death, Millis)>,
}

impl Peers {
    /// Starts with the gateways that the settings name.
    pub(crate) fn new(settings: &Settings, now: Millis) -> Peers {
        let mut peers = Peers {
            own: settings.address,
            peers: HashMap::new(),
            loads: HashMap::new(),
            deaths: Vec::new(),
        };
        for seed in &settings.seeds {
            peers.add(*seed.ip(), now);
        }
        peers
    }

    /// Adds a gateway that may be alive.
    pub(crate) fn add(&mut self, address: Ipv4Addr, now: Millis) {
        if address != self.own {
            self.peers.entry(address).or_insert_with(|| Peer { added: now, ..Peer::default() });
        }
    }

    /// Returns how many other gateways are alive.
    pub(crate) fn alive(&self, now: Millis) -> usize {
        self.peers.values().filter(|it| self.is_alive(it, now)).count()
    }

    /// Returns the gateways that take requests.
    pub(crate) fn ready(&self, now: Millis) -> impl Iterator<Item = Ipv4Addr> {
        self.peers
            .iter()
            .filter(move |(_, it)| it.ready && self.is_alive(it, now))
            .map(|(address, _)| *address)
    }

    /// Returns the requests that other gateways have at an endpoint.
    pub(crate) fn load_of(&self, node: u64) -> u32 {
        self.loads.get(&(node as u32)).copied().unwrap_or(0)
    }

    /// Returns a live gateway that knows a later list of endpoints than
    /// `offset`, or a later configuration than `version`.
    pub(crate) fn ahead(&self, version: u64, offset: u64, now: Millis) -> Option<Ipv4Addr> {
        self.peers
            .iter()
            .filter(|(_, it)| self.is_alive(it, now))
            .filter(|(_, it)| it.version > version || it.offset > offset)
            .max_by_key(|(_, it)| (it.version, it.offset))
            .map(|(address, _)| *address)
    }

    /// Tells the others of a request that was open when an endpoint died.
    pub(crate) fn tell_death(&mut self, fingerprint: u64, endpoint: u64, now: Millis) {
        self.deaths.push((Death { fingerprint, endpoint }, now));
    }

    fn is_alive(&self, peer: &Peer, now: Millis) -> bool {
        peer.heard.is_some_and(|at| now.since(at) < DEAD_ROUNDS * self.round_ms())
    }

    fn round_ms(&self) -> u64 {
        ROUND_MS + ROUND_MS_PER_PEER * self.peers.len() as u64
    }

    fn receive(&mut self, from: Ipv4Addr, beat: Heartbeat, now: Millis) {
        self.add(from, now);
        for address in beat.known {
            self.add(address, now);
        }
        let Some(peer) = self.peers.get_mut(&from) else { return };
        if peer.ready != beat.ready || peer.heard.is_none() {
            spdlog::info!("peer: address={from} ready={} version={}", beat.ready, beat.version);
        }
        peer.heard = Some(now);
        peer.ready = beat.ready;
        peer.version = beat.version;
        peer.offset = beat.offset;
        peer.loads = beat.loads;
        self.sum_loads(now);
    }

    fn sum_loads(&mut self, now: Millis) {
        let mut sums = HashMap::new();
        for peer in self.peers.values().filter(|it| self.is_alive(it, now)) {
            for load in &peer.loads {
                *sums.entry(load.endpoint).or_insert(0) += u32::from(load.requests);
            }
        }
        self.loads = sums;
    }

    fn drop_forgotten(&mut self, now: Millis) {
        let last = |it: &Peer| it.heard.unwrap_or(it.added);
        self.peers.retain(|_, it| now.since(last(it)) < FORGET_MS);
        self.deaths.retain(|(_, at)| now.since(*at) < TELL_DEATH_MS);
    }

    fn recipients(&self, round: u64, now: Millis) -> Vec<Ipv4Addr> {
        self.peers
            .iter()
            .filter(|(_, it)| self.is_alive(it, now) || round.is_multiple_of(DEAD_EVERY))
            .map(|(address, _)| *address)
            .collect()
    }
}

/// Sends and receives heartbeats for as long as the gateway runs.
pub(crate) async fn exchange(gateway: Rc<Gateway>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    spawn_local(receive(gateway.clone(), socket.clone()));
    let mut round = 0;
    loop {
        let pause_ms = send_round(&gateway, &socket, round).await;
        time::sleep(Duration::from_millis(pause_ms)).await;
        round += 1;
    }
}

/// Sends one round of heartbeats; returns the pause until the next.
pub(crate) async fn send_round(gateway: &Gateway, socket: &UdpSocket, round: u64) -> u64 {
    let now = gateway.now();
    let (recipients, pause_ms) = {
        let mut peers = gateway.peers.borrow_mut();
        peers.drop_forgotten(now);
        peers.sum_loads(now);
        (peers.recipients(round, now), peers.round_ms())
    };
    let beat = match postcard::to_stdvec(&heartbeat(gateway, now)) {
        Ok(beat) => beat,
        Err(err) => {
            spdlog::error!("peer: cannot encode a heartbeat, cause={err}");
            return pause_ms;
        }
    };
    let port = gateway.settings.listen.peers;
    for address in recipients {
        // A heartbeat that is lost is followed by another.
        let _ = socket.send_to(&beat, (address, port)).await;
    }
    pause_ms
}

fn heartbeat(gateway: &Gateway, now: Millis) -> Heartbeat {
    let fleet = gateway.fleet.borrow();
    let loads = fleet
        .slots()
        .filter(|it| it.in_flight() > 0)
        .map(|it| Load {
            endpoint: it.node() as u32,
            requests: it.in_flight().min(u32::from(u16::MAX)) as u16,
        })
        .collect();
    let peers = gateway.peers.borrow();
    Heartbeat {
        ready: gateway.is_ready(),
        version: gateway.version(),
        offset: gateway.endpoints_offset.get(),
        loads,
        deaths: peers.deaths.iter().rev().take(MAX_DEATHS).map(|(death, _)| *death).collect(),
        known: peers.ready(now).take(NAMED_PEERS).collect(),
    }
}

async fn receive(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    let syncing = Rc::new(Cell::new(false));
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(err) => {
                spdlog::warn!("peer: cannot receive, cause={err}");
                time::sleep(Duration::from_millis(ROUND_MS)).await;
                continue;
            }
        };
        let SocketAddr::V4(from) = from else { continue };
        let Ok(beat) = postcard::from_bytes::<Heartbeat>(&buffer[..length]) else {
            spdlog::warn!("peer: unreadable heartbeat, address={from} bytes={length}");
            continue;
        };
        let now = gateway.now();
        for death in &beat.deaths {
            gateway.crashers.borrow_mut().blame(death.fingerprint, death.endpoint, now);
        }
        gateway.peers.borrow_mut().receive(*from.ip(), beat, now);
        sync::catch_up(&gateway, &syncing);
    }
}
