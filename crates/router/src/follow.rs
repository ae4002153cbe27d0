//! Tasks that keep the configuration and the VM list up to date.
//!
//! A router polls the platform's log and VM list. It also fetches newer state from
//! its peers, so that it can start, and receive changes, during a platform outage.

use std::{collections::HashSet, net::SocketAddr, rc::Rc, time::Duration};

use mimosaledge_core::{
    endpoints::{EndpointId, EndpointInfo, EndpointKind},
    hash::hash32,
    head::ApplyOutcome,
    members::{Heartbeat, Phase, RouterRef, hash_data_centre},
};
use mimosaledge_net::{Page, Vm, VmKind, log::CONFIG_STREAM};
use spdlog::{error, info, warn};
use tokio::time;

use crate::{
    gossip,
    node::{Node, RouterState},
    peer,
};

/// Polls the configuration stream of the log until it is dropped.
pub(crate) async fn follow_log(node: Rc<Node>) {
    let mut ticks = delayed_interval(node.settings.limits.follow_ms);
    let mut was_reachable = true;
    loop {
        ticks.tick().await;
        let from = node.state.borrow().head_replica.next;
        match node.log.read(CONFIG_STREAM, from).await {
            Ok(page) => {
                if !was_reachable {
                    info!("follow: log is reachable again");
                }
                was_reachable = true;
                apply_page(&node, &page);
                write_snapshot_if_due(&node, &page).await;
            }
            Err(err) => {
                if was_reachable {
                    warn!("follow: log is unreachable: {err}");
                }
                was_reachable = false;
            }
        }
    }
}

/// Creates an interval that delays later ticks after a missed one instead of
/// firing them in a burst.
fn delayed_interval(period_ms: u64) -> time::Interval {
    let mut ticks = time::interval(Duration::from_millis(period_ms));
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    ticks
}

/// Applies a page of the log, and activates the head if it has changed.
fn apply_page(node: &Node, page: &Page) {
    let summary = {
        let RouterState { head_replica, newest_snapshot, .. } = &mut *node.state.borrow_mut();
        let records = page.records.iter().map(|it| (it.offset, it.body.as_str()));
        let summary = head_replica.apply_page(page.first, records);
        *newest_snapshot = summary.snapshot.or(*newest_snapshot);
        summary
    };
    if summary.restored {
        info!("follow: log records were missing; restored the head from a snapshot");
    }
    if summary.head_changed {
        activate_head(node);
    }
}

/// Activates the accepted head and gossips it to a few peers; the others read it
/// from the log.
pub(crate) fn activate_head(node: &Node) {
    {
        let state = &mut *node.state.borrow_mut();
        let Some(head) = &state.head_replica.head else { return };
        if state.config_state.activate(head) {
            info!("follow: activated head {} with preset {}", head.offset, head.preset);
            node.metrics.head.set(head.offset as i64 + 1);
        }
        if let Some((offset, err)) = state.config_state.activation_error() {
            error!("follow: cannot activate head {offset}: {err}");
        }
    }
    gossip::send_round(node);
}

/// Appends a snapshot of the head to the log before the log drops the records
/// from which it derives.
///
/// The live router with the lowest identifier is the writer; duplicate snapshots
/// are harmless.
async fn write_snapshot_if_due(node: &Node, page: &Page) {
    let record = {
        let state = node.state.borrow();
        let now = node.now();
        let lowest_id = state.members.alive(now).map(|it| it.heartbeat.router.id).min();
        let Some(head) = state.head_replica.head_offset() else { return };
        let interval = node.settings.limits.snapshot_every;
        let newest = state.newest_snapshot.max(Some(head)).unwrap_or(head);
        let records_since = page.next.saturating_sub(newest);
        let is_writer = lowest_id == Some(node.own.id);
        // The log may have dropped the record of the head during an outage.
        let is_head_lost = page.first > newest;
        // If the designated writer fails, any router writes after twice as many records.
        let is_due =
            is_head_lost || records_since >= interval && is_writer || records_since >= 2 * interval;
        if !is_due || state.head_replica.next != page.next {
            return;
        }
        state.head_replica.to_snapshot(format!("snapshot-{:x}-{}", node.own.incarnation, page.next))
    };
    let Some(record) = record else { return };
    match node.log.append(CONFIG_STREAM, record.to_json()).await {
        Ok(offset) => {
            node.state.borrow_mut().newest_snapshot = Some(offset);
            info!("follow: wrote snapshot at {offset}");
        }
        Err(err) => warn!("follow: cannot write snapshot: {err}"),
    }
}

/// Fetches newer state from peers until it is dropped, whether or not the
/// platform is available.
pub(crate) async fn sync_with_peers(node: Rc<Node>) {
    let mut ticks = delayed_interval(node.settings.limits.follow_ms);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = node.peer_ahead.notified() => {}
        }
        if let Some(peer) = find_peer_ahead(&node) {
            sync_from_peer(&node, peer).await;
        }
    }
}

/// Returns the peer with the newest head, if it has state that this router lacks.
fn find_peer_ahead(node: &Node) -> Option<SocketAddr> {
    let state = node.state.borrow();
    let own_head = state.head_replica.head_offset().map_or(0, |offset| offset + 1);
    let is_incomplete = state.head_replica.gapped || state.endpoints.is_empty();
    let is_useful = |head: u64| head > own_head || (is_incomplete && head >= own_head && head > 0);
    let useful =
        state.members.peers(node.now()).map(|it| it.heartbeat).filter(|it| is_useful(it.head));
    useful.max_by_key(|it| it.head).map(|it| it.peer)
}

async fn sync_from_peer(node: &Node, peer: SocketAddr) {
    let transfer = match peer::fetch_state(node, peer).await {
        Ok(transfer) => transfer,
        Err(err) => {
            warn!("follow: cannot fetch state from {peer}: {err}");
            return;
        }
    };
    let previous_head = node.state.borrow().head_replica.head_offset();
    let outcome = node.state.borrow_mut().head_replica.adopt(&transfer.head_replica);
    if outcome == ApplyOutcome::Restored && transfer.head_replica.head_offset() != previous_head {
        info!("follow: adopted the head of {peer}");
        activate_head(node);
    }
    let endpoints = &mut node.state.borrow_mut().endpoints;
    if endpoints.is_empty() && !transfer.endpoints.is_empty() {
        info!("follow: adopted the endpoints of {peer}");
        endpoints.apply_vm_list(transfer.endpoints, &HashSet::new());
    }
}

/// Polls the VM list until it is dropped.
pub(crate) async fn follow_vm_list(node: Rc<Node>) {
    let mut ticks = delayed_interval(node.settings.limits.list_ms);
    loop {
        ticks.tick().await;
        // The last list stays in use while the platform is unavailable.
        if let Ok(Some(vms)) = node.vm_list.fetch_if_changed().await {
            apply_vm_list(&node, vms);
        }
    }
}

fn apply_vm_list(node: &Node, vms: Vec<Vm>) {
    let now = node.now();
    let state = &mut *node.state.borrow_mut();
    let mut infos = Vec::new();
    let mut leaving = HashSet::new();
    for vm in vms {
        match vm.kind {
            VmKind::Router => {
                if let Some(heartbeat) = placeholder_heartbeat(&vm) {
                    state.members.add_listed(heartbeat, now);
                }
            }
            VmKind::Engine => infos.push(endpoint_info(&vm, EndpointKind::Engine)),
            VmKind::Service => infos.push(endpoint_info(&vm, EndpointKind::Service)),
        }
        if vm.leaving {
            leaving.insert(EndpointId::from_name(&vm.name));
        }
    }
    state.endpoints.apply_vm_list(infos, &leaving);
}

/// Returns a placeholder heartbeat for a listed router, or `None` if it has no
/// peer address; the first real heartbeat replaces it.
fn placeholder_heartbeat(vm: &Vm) -> Option<Heartbeat> {
    Some(Heartbeat {
        router: RouterRef { id: hash32(vm.name.as_bytes()), incarnation: 0 },
        sequence: 0,
        http: vm.addr,
        peer: vm.peer?,
        data_centre: hash_data_centre(&vm.data_centre),
        phase: if vm.leaving { Phase::Draining } else { Phase::Starting },
        head: 0,
    })
}

fn endpoint_info(vm: &Vm, kind: EndpointKind) -> EndpointInfo {
    EndpointInfo {
        name: vm.name.clone(),
        kind,
        addr: vm.addr,
        data_centre: vm.data_centre.clone(),
        region: vm.region.clone(),
    }
}
