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

use mimosaledge_core::{Millis, hash::hash64};
use mimosaledge_policy::endpoints::Change;
use serde::{Deserialize, Serialize};
use tokio::{net::UdpSocket, task::spawn_local, time};

use crate::{
    gateway::Gateway,
    loads::{Load, Loads, Outcomes},
    settings::Settings,
    sync,
};

/// Gateways that read the list of endpoints for all.
const READERS: usize = 2;
/// Shortest pause between two rounds of heartbeats, in milliseconds.
const ROUND_MS: u64 = 400;
/// Pause that each further gateway adds, in milliseconds, so that the traffic
/// of one gateway stays the same however many there are.
const ROUND_MS_PER_PEER: u64 = 9;
/// Rounds without a heartbeat after which a gateway is taken for dead.
const DEAD_ROUNDS: u64 = 4;
/// Time for which a gateway that was never heard is sent every heartbeat, in
/// milliseconds.
const GREET_MS: u64 = 4_000;
/// Dead gateways are sent a heartbeat once in so many rounds.
const DEAD_EVERY: u64 = 6;
/// Time after which a dead gateway is forgotten, in milliseconds.
const FORGET_MS: u64 = 60_000;
/// Other gateways named in a heartbeat.
const NAMED_PEERS: usize = 4;
/// Time for which a death is told, in milliseconds.
const TELL_DEATH_MS: u64 = 3_000;
/// Most changes of the list of endpoints in one datagram; others copy the list.
const MAX_NEWS: usize = 32;
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

/// What a gateway knows of configuration and endpoints.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Stamp {
    /// Version of the configuration.
    pub(crate) version: u64,
    /// How far the list of endpoints has been read.
    pub(crate) offset: u64,
    /// Digest of that list.
    pub(crate) digest: u64,
    /// Time since it was read, in milliseconds.
    pub(crate) age_ms: u64,
}

/// Changes of the list of endpoints that a gateway has read.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct News {
    /// Digest of the list that the changes follow on.
    pub(crate) before: u64,
    /// The changes.
    pub(crate) changes: Vec<Change>,
    #[serde(skip)]
    after: u64,
}

impl News {
    /// Adds changes that lead from one digest to another.
    pub(crate) fn add(&mut self, before: u64, after: u64, changes: Vec<Change>) {
        if self.changes.is_empty() || self.after != before {
            *self = News { before, changes, after };
        } else {
            self.changes.extend(changes);
            self.after = after;
        }
        if self.changes.len() > MAX_NEWS {
            self.changes.clear();
        }
    }
}

/// A datagram between gateways.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
enum Message {
    /// Sent by all, at a pace that falls with their number.
    Heartbeat(Heartbeat),
    /// Sent by those that have just read the list of endpoints.
    Stamp(Stamp, News),
}

/// What one gateway tells the others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Heartbeat {
    ready: bool,
    stamp: Stamp,
    loads: Vec<Load>,
    outcomes: Vec<Outcomes>,
    deaths: Vec<Death>,
    known: Vec<Ipv4Addr>,
}

#[derive(Debug, Default)]
struct Peer {
    heard: Option<Millis>,
    added: Millis,
    ready: bool,
    stamp: Stamp,
    loads: Vec<Load>,
    outcomes: Vec<Outcomes>,
}

/// The other gateways.
#[derive(Debug)]
pub(crate) struct Peers {
    own: Ipv4Addr,
    peers: HashMap<Ipv4Addr, Peer>,
    deaths: Vec<(Death, Millis)>,
}

impl Peers {
    /// Starts with the gateways that the settings name.
    pub(crate) fn new(settings: &Settings, now: Millis) -> Peers {
        let mut peers = Peers { own: settings.address, peers: HashMap::new(), deaths: Vec::new() };
        for seed in settings.seeds.iter().flatten() {
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

    /// Puts what live gateways have told of their requests into `loads`.
    pub(crate) fn sum_up(&self, loads: &mut Loads, now: Millis) {
        let alive = || self.peers.values().filter(|it| self.is_alive(it, now));
        loads.set_at_peers(alive().flat_map(|it| &it.loads));
        loads.set_outcomes(alive().flat_map(|it| &it.outcomes));
    }

    /// Returns a live gateway that knows a later configuration than `own`, or
    /// another list of endpoints that is later, if `lists` are asked for.
    pub(crate) fn ahead(&self, own: Stamp, lists: bool, now: Millis) -> Option<Ipv4Addr> {
        let has_list = |it: Stamp| lists && it.digest != own.digest && it.offset > own.offset;
        self.peers
            .iter()
            .filter(|(_, it)| self.is_alive(it, now))
            .filter(|(_, it)| it.stamp.version > own.version || has_list(it.stamp))
            .max_by_key(|(_, it)| (it.stamp.version, it.stamp.offset))
            .map(|(address, _)| *address)
    }

    /// Returns whether this gateway is one of the [`READERS`] that read the
    /// list of endpoints for all.
    pub(crate) fn is_reader(&self, now: Millis) -> bool {
        let own = reader_rank(self.own);
        let able = |it: &Peer| it.stamp.offset > 0 && self.is_alive(it, now);
        let before =
            self.peers.iter().filter(|(at, it)| able(it) && reader_rank(**at) > own).count();
        before < READERS
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

    fn receive_stamp(&mut self, from: Ipv4Addr, stamp: Stamp) {
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.stamp = stamp;
        }
    }

    fn receive(&mut self, from: Ipv4Addr, beat: Heartbeat, now: Millis) {
        self.add(from, now);
        for address in beat.known {
            self.add(address, now);
        }
        let Some(peer) = self.peers.get_mut(&from) else { return };
        if peer.ready != beat.ready || peer.heard.is_none() {
            spdlog::info!(
                "peer: address={from} ready={} version={}",
                beat.ready,
                beat.stamp.version
            );
        }
        peer.heard = Some(now);
        peer.ready = beat.ready;
        peer.stamp = beat.stamp;
        peer.loads = beat.loads;
        peer.outcomes = beat.outcomes;
    }

    fn drop_forgotten(&mut self, now: Millis) {
        let last = |it: &Peer| it.heard.unwrap_or(it.added);
        self.peers.retain(|_, it| now.since(last(it)) < FORGET_MS);
        self.deaths.retain(|(_, at)| now.since(*at) < TELL_DEATH_MS);
    }

    fn recipients(&self, round: u64, now: Millis) -> Vec<Ipv4Addr> {
        self.peers
            .iter()
            .filter(|(_, it)| {
                let is_new = now.since(it.added) < GREET_MS;
                is_new || self.is_alive(it, now) || round.is_multiple_of(DEAD_EVERY)
            })
            .map(|(address, _)| *address)
            .collect()
    }
}

/// Sends and receives heartbeats for as long as the gateway runs.
pub(crate) async fn exchange(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
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
        peers.sum_up(&mut gateway.loads.borrow_mut(), now);
        (peers.recipients(round, now), peers.round_ms())
    };
    send(gateway, socket, &Message::Heartbeat(heartbeat(gateway, now)), &recipients).await;
    pause_ms
}

/// Tells all live gateways of changes of the list of endpoints that have just
/// been read. That it was read without changes goes round with heartbeats.
pub(crate) async fn send_news(gateway: &Gateway) {
    let Some(socket) = gateway.beats.get() else { return };
    let news = std::mem::take(&mut *gateway.news.borrow_mut());
    if news.changes.is_empty() {
        return;
    }
    let now = gateway.now();
    let recipients: Vec<Ipv4Addr> = {
        let peers = gateway.peers.borrow();
        let alive = peers.peers.iter().filter(|(_, it)| peers.is_alive(it, now));
        alive.map(|(address, _)| *address).collect()
    };
    send(gateway, socket, &Message::Stamp(gateway.stamp(), news), &recipients).await;
}

async fn send(gateway: &Gateway, socket: &UdpSocket, message: &Message, to: &[Ipv4Addr]) {
    let bytes = match postcard::to_stdvec(message) {
        Ok(bytes) => bytes,
        Err(err) => {
            spdlog::error!("peer: cannot encode a datagram, cause={err}");
            return;
        }
    };
    let port = gateway.settings.listen.peers;
    for address in to {
        // A datagram that is lost is followed by another.
        let _ = socket.send_to(&bytes, (*address, port)).await;
    }
}

fn reader_rank(address: Ipv4Addr) -> u64 {
    hash64(&address.octets())
}

fn heartbeat(gateway: &Gateway, now: Millis) -> Heartbeat {
    let peers = gateway.peers.borrow();
    let fleet = gateway.fleet.borrow();
    let outcomes =
        fleet.slots().filter_map(|it| Outcomes::from_tally(it.node(), it.tally(now))).collect();
    Heartbeat {
        ready: gateway.is_ready(),
        stamp: gateway.stamp(),
        loads: gateway.loads.borrow().to_told(),
        outcomes,
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
        match postcard::from_bytes::<Message>(&buffer[..length]) {
            Ok(message) => take_message(&gateway, *from.ip(), message),
            Err(_) => {
                spdlog::warn!("peer: unreadable datagram, address={from} bytes={length}");
                continue;
            }
        }
        sync::catch_up(&gateway, &syncing);
    }
}

fn take_message(gateway: &Gateway, from: Ipv4Addr, message: Message) {
    let now = gateway.now();
    let stamp = match message {
        Message::Stamp(stamp, news) => {
            gateway.adopt_news(news, &stamp);
            gateway.peers.borrow_mut().receive_stamp(from, stamp);
            stamp
        }
        Message::Heartbeat(beat) => {
            for death in &beat.deaths {
                gateway.crashers.borrow_mut().blame(death.fingerprint, death.endpoint, now);
            }
            let stamp = beat.stamp;
            let mut peers = gateway.peers.borrow_mut();
            peers.receive(from, beat, now);
            peers.sum_up(&mut gateway.loads.borrow_mut(), now);
            stamp
        }
    };
    gateway.hear_stamp(&stamp);
}
