//! Sends and receives heartbeats.
//!
//! Each gateway tells the others whether it is ready, which configuration and
//! list of endpoints it has, and how many requests it has at each endpoint. In
//! a large fleet it passes on the loads that endpoints told it instead, of
//! which fewer are needed.

use std::{
    cell::Cell,
    cmp::Reverse,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use mimosaledge_core::Millis;
use tokio::{net::UdpSocket, task::spawn_local, time};

use crate::{
    gateway::Gateway,
    heartbeat::{Heartbeat, Message},
    loads::{Outcomes, Sample},
    sync,
};

/// Other gateways named in a heartbeat.
const NAMED_PEERS: usize = 4;
/// Most loads of endpoints in a heartbeat of a large fleet.
const MAX_SAMPLES: usize = 8;
/// Most outcomes in a heartbeat of a large fleet.
const MAX_OUTCOMES: usize = 8;
/// Largest datagram, in bytes.
const MAX_DATAGRAM: usize = 8 * 1024;
/// Bytes of IP and UDP headers around a datagram.
const HEADER_BYTES: usize = 28;
/// Pause after a failure to receive.
const RECEIVE_PAUSE: Duration = Duration::from_millis(400);

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
    if let Some(bytes) = encode(&Message::Heartbeat(heartbeat(gateway, now))) {
        let ready = gateway.is_ready();
        let recipients = gateway.peers.borrow_mut().begin_round(round, ready, bytes.len(), now);
        send(gateway, socket, &bytes, &recipients).await;
    }
    gateway.peers.borrow().pause_ms()
}

/// Tells the other gateways of changes of the list of endpoints that have just
/// been read. That it was read without changes goes round with heartbeats.
pub(crate) async fn send_news(gateway: &Gateway) {
    let Some(socket) = gateway.beats.get() else { return };
    let news = std::mem::take(&mut *gateway.news.borrow_mut());
    if news.changes.is_empty() {
        return;
    }
    let Some(bytes) = encode(&Message::News(gateway.stamp(), news)) else { return };
    let recipients = gateway.peers.borrow().to_tell(gateway.now());
    send(gateway, socket, &bytes, &recipients).await;
}

fn encode(message: &Message) -> Option<Vec<u8>> {
    let encoded = postcard::to_stdvec(message);
    encoded.inspect_err(|err| spdlog::error!("peer: cannot encode a datagram, cause={err}")).ok()
}

async fn send(gateway: &Gateway, socket: &UdpSocket, bytes: &[u8], to: &[Ipv4Addr]) {
    let port = gateway.settings.listen.peers;
    for address in to {
        // A datagram that is lost is followed by another.
        let _ = socket.send_to(bytes, (*address, port)).await;
    }
    let sent = (bytes.len() + HEADER_BYTES) * to.len();
    gateway.metrics.peer_bytes.with_label_values(&["sent"]).inc_by(sent as u64);
}

fn heartbeat(gateway: &Gateway, now: Millis) -> Heartbeat {
    let peers = gateway.peers.borrow();
    let fleet = gateway.fleet.borrow();
    let is_large = peers.is_large();
    let mut outcomes: Vec<Outcomes> =
        fleet.slots().filter_map(|it| Outcomes::from_tally(it.node(), it.tally(now))).collect();
    let mut samples = Vec::new();
    if is_large {
        outcomes.sort_unstable_by_key(|it| Reverse(it.bad()));
        outcomes.truncate(MAX_OUTCOMES);
        samples = fleet.slots().filter_map(|it| it.to_sample(now)).collect();
        samples.sort_unstable_by_key(Sample::age_ms);
        samples.truncate(MAX_SAMPLES);
    }
    let loads = gateway.loads.borrow();
    Heartbeat {
        ready: gateway.is_ready(),
        stamp: gateway.stamp(),
        loads: if is_large { loads.to_hot() } else { loads.to_told() },
        samples,
        outcomes,
        deaths: peers.deaths(),
        known: peers.ready(now).take(if is_large { 1 } else { NAMED_PEERS }).collect(),
        losses: peers.losses(now),
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
                time::sleep(RECEIVE_PAUSE).await;
                continue;
            }
        };
        let received = (length + HEADER_BYTES) as u64;
        gateway.metrics.peer_bytes.with_label_values(&["received"]).inc_by(received);
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
        Message::News(stamp, news) => {
            gateway.adopt_news(news, &stamp);
            gateway.peers.borrow_mut().receive_stamp(from, stamp);
            stamp
        }
        Message::Heartbeat(beat) => {
            for death in &beat.deaths {
                gateway.quarantine.borrow_mut().record_crash(
                    death.fingerprint,
                    death.endpoint,
                    now,
                );
            }
            let fleet = gateway.fleet.borrow();
            for sample in &beat.samples {
                fleet.take_sample(sample, now);
            }
            let stamp = beat.stamp;
            gateway.peers.borrow_mut().receive(from, beat, now);
            stamp
        }
    };
    gateway.hear_stamp(&stamp);
}
