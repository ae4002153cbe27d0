//! Exchanges heartbeats with the other gateways over UDP.
//!
//! A heartbeat contains the gateway's readiness, the versions of its
//! configuration and endpoint list, and the number of its requests at each
//! endpoint. In a large fleet it contains, instead of these numbers, some of
//! the loads that endpoints have reported to the gateway: fewer of them are
//! needed, since each covers the requests of all gateways.

use std::{
    cell::Cell,
    cmp::Reverse,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use mimosaledge_core::Millis;
use mimosaledge_peer::{
    Heartbeat, HeartbeatExtension, LoadSample, Message, Outcomes, ResponseTimeSample,
    SlownessSample, Version, datagram,
};
use mimosaledge_policy::{EndpointGroup, crashing_parts::CrashStage};
use tokio::{net::UdpSocket, task::spawn_local, time};

use crate::{
    datagrams::{self, Outgoing},
    endpoint_handle::EndpointHandle,
    endpoint_table::EndpointTable,
    evacuation,
    gateway::Gateway,
    origins, permits, quarantine,
    status::Status,
    sync, warmup,
};

/// Maximum number of other gateways named in a heartbeat of a small fleet.
const MAX_KNOWN_PEERS: usize = 4;
/// Maximum number of load samples in a heartbeat of a large fleet.
const MAX_SAMPLES: usize = 8;
/// Maximum number of endpoints with outcomes in a heartbeat of a large fleet.
const MAX_OUTCOMES: usize = 8;
/// Maximum number of slow endpoints, and of endpoints with response times, in a heartbeat of a
/// small fleet.
const MAX_SPEEDS: usize = 8;
/// Maximum number of slow endpoints in a heartbeat of a large fleet.
const MAX_SPEEDS_LARGE: usize = 4;
/// Maximum number of endpoints with limits in a heartbeat.
const MAX_LIMITS: usize = 16;
/// Maximum number of cold endpoints in a heartbeat.
const MAX_WARMUPS: usize = 16;
/// Maximum number of services and builds that a heartbeat names as unreached.
const MAX_UNREACHED: usize = 16;
/// Size of the receive buffer, which bounds the payload of a datagram.
const MAX_DATAGRAM_BYTES: usize = 8 * 1024;
/// Delay after a failure to receive.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Sends and receives heartbeats until the gateway exits.
pub(crate) async fn run(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    spawn_local(receive(gateway.clone(), socket.clone()));
    let mut round = 0;
    loop {
        let interval_ms = send_round(&gateway, &socket, round).await;
        time::sleep(Duration::from_millis(interval_ms)).await;
        round += 1;
    }
}

/// Sends one round of heartbeats; returns the interval until the next, in
/// milliseconds.
pub(crate) async fn send_round(gateway: &Gateway, socket: &UdpSocket, round: u64) -> u64 {
    let now = gateway.now();
    let heartbeat = Outgoing::new(Message::Heartbeat(Box::new(build_heartbeat(gateway, now))));
    let status = Status { ready: gateway.is_ready(), cut_off: gateway.is_cut_off() };
    let recipients = gateway.peers.borrow_mut().begin_round(round, status, heartbeat.len(), now);
    datagrams::send(gateway, socket, &heartbeat, &recipients).await;
    let interval_ms = gateway.peers.borrow().round_interval_ms();
    quarantine::repeat_reports(gateway, &recipients);
    origins::send_copies(gateway, interval_ms);
    interval_ms
}

/// Sends changes of the endpoint list that have just been read to the other
/// gateways.
///
/// After a read without changes nothing is sent, unless peers must be sent a summary; the
/// next heartbeats confirm the list.
pub(crate) async fn send_changes(gateway: &Gateway) {
    let Some(socket) = gateway.peer_socket.get() else { return };
    let mut batch = std::mem::take(&mut *gateway.unsent_changes.borrow_mut());
    // The list may have been replaced by a peer's since.
    batch.retain_if_current(gateway.list_digest.get());
    if batch.changes.is_empty() && !gateway.has_unsent_summary.take() {
        return;
    }
    let changes = Outgoing::new(Message::Changes(gateway.state_summary(), batch));
    let recipients = gateway.peers.borrow().urgent_recipients(gateway.now());
    datagrams::send(gateway, socket, &changes, &recipients).await;
}

fn build_heartbeat(gateway: &Gateway, now: Millis) -> Heartbeat {
    let peers = gateway.peers.borrow();
    let table = gateway.endpoint_table.borrow();
    let is_large = peers.is_large();
    let mut outcomes: Vec<Outcomes> =
        table.handles().filter_map(|it| Outcomes::from_tally(it.node(), it.tally(now))).collect();
    let mut samples = Vec::new();
    if is_large {
        outcomes.sort_unstable_by_key(|it| Reverse(it.failures()));
        outcomes.truncate(MAX_OUTCOMES);
        samples = table.handles().filter_map(|it| it.to_load_sample(now)).collect();
        samples.sort_unstable_by_key(LoadSample::age_ms);
        samples.truncate(MAX_SAMPLES);
    }
    let loads = gateway.loads.borrow();
    let fairness = gateway.fairness.borrow();
    Heartbeat {
        ready: gateway.is_ready(),
        cut_off: gateway.is_cut_off(),
        summary: gateway.state_summary(),
        request_counts: if is_large {
            loads.shared_prefix_counts()
        } else {
            loads.own_request_counts()
        },
        samples,
        outcomes,
        limits: table.handles().filter_map(|it| it.changed_limits(now)).take(MAX_LIMITS).collect(),
        crashes: peers.crash_news.crashes(),
        suspects: peers.crash_news.suspects(CrashStage::Responding, now),
        sound_parts: peers.crash_news.sound_parts(),
        known_peers: peers.ready(now).take(if is_large { 1 } else { MAX_KNOWN_PEERS }).collect(),
        failure_report: peers.failure_report(now),
        extension: HeartbeatExtension {
            region: gateway.settings.region_hash(),
            evacuations: evacuation::summary(gateway),
            warmups: warmup::own_news(gateway, MAX_WARMUPS),
            slow_endpoints: slow_endpoints(&table, is_large, now),
            response_times: if is_large { Vec::new() } else { untold_response_times(&table, now) },
            usages: fairness.usages(now),
        },
        unreached: if gateway.is_cut_off() { Vec::new() } else { unreached_numbers(&table) },
    }
}

/// Returns what endpoints have said lately of how slow they are, latest first.
fn slow_endpoints(table: &EndpointTable, is_large: bool, now: Millis) -> Vec<SlownessSample> {
    let to_sample = |it: &Rc<EndpointHandle>| it.speed.to_slowness_sample(it.node(), now);
    let mut samples: Vec<SlownessSample> = table.handles().filter_map(to_sample).collect();
    samples.sort_unstable_by_key(|it| it.age_ms);
    samples.truncate(if is_large { MAX_SPEEDS_LARGE } else { MAX_SPEEDS });
    samples
}

/// Returns the response times that other gateways have not been told of.
fn untold_response_times(table: &EndpointTable, now: Millis) -> Vec<ResponseTimeSample> {
    let untold = table.handles().filter_map(|it| it.speed.take_untold(it.node(), now));
    untold.take(MAX_SPEEDS).collect()
}

/// Returns the numbers of the groups of which this gateway cannot say that it reaches an
/// endpoint, services first.
fn unreached_numbers(table: &EndpointTable) -> Vec<u32> {
    let services = table.unproven_services().into_iter().map(EndpointGroup::of_service);
    let builds = table.unreached_groups().into_keys().filter(|it| it.build.is_some());
    services.chain(builds).take(MAX_UNREACHED).map(|it| it.number()).collect()
}

async fn receive(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let is_syncing = Rc::new(Cell::new(false));
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(err) => {
                spdlog::warn!("peer: cannot receive datagram, cause={err}");
                time::sleep(RECEIVE_RETRY_DELAY).await;
                continue;
            }
        };
        datagrams::count_received(&gateway, length);
        let SocketAddr::V4(from) = from else { continue };
        let version = gateway.peers.borrow().known_version(*from.ip());
        let datagram = match datagram::decode(&buffer[..length], version) {
            Ok(datagram) => datagram,
            Err(err) => {
                datagrams::reject(&gateway, *from.ip(), length, &err);
                continue;
            }
        };
        match datagram.message {
            Message::StreamOrigin(origin) => {
                origins::record_received(&gateway, origin);
                continue;
            }
            Message::StreamOrigins(groups) => {
                origins::record_copies(&gateway, groups);
                continue;
            }
            Message::OriginQuery(attempt) => {
                origins::answer_query(&gateway, *from.ip(), attempt);
                continue;
            }
            Message::OriginUnknown(attempt) => {
                origins::record_denial(&gateway, *from.ip(), attempt);
                continue;
            }
            Message::Suspects(suspects) => {
                let stage = CrashStage::Responding;
                quarantine::apply_reports(&gateway, &suspects, stage, &[], gateway.now());
                continue;
            }
            Message::WaitingSuspects(suspects) => {
                let stage = CrashStage::Waiting;
                quarantine::apply_reports(&gateway, &suspects, stage, &[], gateway.now());
                continue;
            }
            Message::Refusals { requests, parts } => {
                quarantine::learn_refusals(&gateway, *from.ip(), &requests, &parts);
                continue;
            }
            Message::Warmups(samples) => {
                warmup::apply_samples(&gateway, &samples);
                continue;
            }
            Message::Limits(samples) => {
                permits::apply_samples(&gateway, &samples, gateway.now());
                continue;
            }
            Message::PermitRequest(request) => {
                permits::handle_request(&gateway, *from.ip(), &request);
                continue;
            }
            Message::PermitRelease { number, endpoint, refused } => {
                permits::handle_release(&gateway, *from.ip(), number, endpoint, refused);
                continue;
            }
            Message::PermitResponse { number, endpoint, retry_ms } => {
                permits::handle_response(&gateway, *from.ip(), number, endpoint, retry_ms);
                continue;
            }
            Message::Heartbeat(heartbeat) => {
                handle_heartbeat(&gateway, *from.ip(), datagram.version, *heartbeat);
            }
            Message::Changes(summary, batch) => {
                gateway.apply_batch(batch, &summary);
                gateway.peers.borrow_mut().record_summary(*from.ip(), summary);
                gateway.apply_summary(&summary);
            }
        }
        sync::start_if_behind(&gateway, &is_syncing);
    }
}

fn handle_heartbeat(gateway: &Gateway, from: Ipv4Addr, version: Version, heartbeat: Heartbeat) {
    let now = gateway.now();
    if let Some(summary) = &heartbeat.extension.evacuations {
        evacuation::apply_summary(gateway, summary, from);
    }
    for crash in &heartbeat.crashes {
        gateway.quarantine.borrow_mut().record_crash(crash.fingerprint, crash.endpoint, now);
    }
    let stage = CrashStage::Responding;
    quarantine::apply_reports(gateway, &heartbeat.suspects, stage, &heartbeat.sound_parts, now);
    let table = gateway.endpoint_table.borrow();
    for sample in &heartbeat.samples {
        if let Some(handle) = table.find_short(sample.endpoint()) {
            handle.load.apply_sample(sample, now);
        }
    }
    for sample in &heartbeat.extension.slow_endpoints {
        if let Some(handle) = table.find_short(sample.endpoint) {
            handle.speed.apply_slowness(sample, now);
        }
    }
    for sample in &heartbeat.extension.response_times {
        if let Some(handle) = table.find_short(sample.endpoint) {
            handle.speed.apply_times(sample, now);
        }
    }
    drop(table);
    permits::apply_samples(gateway, &heartbeat.limits, now);
    warmup::apply_samples(gateway, &heartbeat.extension.warmups);
    gateway.fairness.borrow_mut().apply(from, &heartbeat.extension, now);
    let summary = heartbeat.summary;
    let heard = gateway.peers.borrow_mut().record_heartbeat(from, version, heartbeat, now);
    if heard.has_become_ready {
        permits::send_limits(gateway, from);
    }
    if heard.has_joined || heard.has_become_ready {
        warmup::send_cold(gateway, from);
        quarantine::send_refusals(gateway, from);
    }
    gateway.apply_summary(&summary);
    origins::send_unsent(gateway);
}
