//! Following the platform's log and VM list, and peers that are ahead.

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
    node::{Cores, Node},
    peer,
};

/// Follows the configuration stream until it is dropped.
pub(crate) async fn follow_log(node: Rc<Node>) {
    let mut ticks = ticker(node.settings.limits.follow_ms);
    let mut was_up = true;
    loop {
        ticks.tick().await;
        let from = node.cores.borrow().fold.next;
        match node.log.read(CONFIG_STREAM, from).await {
            Ok(page) => {
                if !was_up {
                    info!("follow: the log answers again");
                }
                was_up = true;
                absorb_page(&node, &page);
                write_snapshot_if_due(&node, &page).await;
            }
            Err(err) => {
                if was_up {
                    warn!("follow: the log is away: {err}");
                }
                was_up = false;
            }
        }
    }
}

fn ticker(period_ms: u64) -> time::Interval {
    let mut ticks = time::interval(Duration::from_millis(period_ms));
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    ticks
}

fn absorb_page(node: &Node, page: &Page) {
    let news = {
        let Cores { fold, newest_snapshot, .. } = &mut *node.cores.borrow_mut();
        let records = page.records.iter().map(|it| (it.offset, it.body.as_str()));
        let news = fold.apply_page(page.first, records);
        *newest_snapshot = news.snapshot.or(*newest_snapshot);
        news
    };
    if news.restored {
        info!("follow: history was lost; restored the head from a snapshot");
    }
    if news.moved {
        put_in_force(node);
    }
}

/// Puts the accepted head in force and tells a few peers; the others read it
/// from the log themselves.
pub(crate) fn put_in_force(node: &Node) {
    {
        let cores = &mut *node.cores.borrow_mut();
        let Some(head) = &cores.fold.head else { return };
        if cores.in_force.activate(head) {
            info!("follow: head {} is in force with preset {}", head.offset, head.preset);
            node.metrics.head.set(head.offset as i64 + 1);
        }
        if let Some((offset, err)) = cores.in_force.activation_error() {
            error!("follow: head {offset} cannot be put in force: {err}");
        }
    }
    gossip::tell(node);
}

/// Restates the head well before the log drops the records it came from.
///
/// The live router with the lowest identity writes; a second writer does no
/// harm.
async fn write_snapshot_if_due(node: &Node, page: &Page) {
    let record = {
        let cores = node.cores.borrow();
        let now = node.now();
        let lowest = cores.members.alive(now).map(|it| it.heartbeat.router.id).min();
        let Some(head) = cores.fold.head_offset() else { return };
        let every = node.settings.limits.snapshot_every;
        let newest = cores.newest_snapshot.max(Some(head)).unwrap_or(head);
        let age = page.next.saturating_sub(newest);
        let is_writer = lowest == Some(node.own.id);
        // The log may have forgotten the head during an outage.
        let lost = page.first > newest;
        // Another router writes if the one whose turn it is cannot.
        let due = lost || age >= every && is_writer || age >= 2 * every;
        if !due || cores.fold.next != page.next {
            return;
        }
        cores.fold.to_snapshot(format!("snapshot-{:x}-{}", node.own.incarnation, page.next))
    };
    let Some(record) = record else { return };
    match node.log.append(CONFIG_STREAM, record.to_json()).await {
        Ok(offset) => {
            node.cores.borrow_mut().newest_snapshot = Some(offset);
            info!("follow: wrote a snapshot at {offset}");
        }
        Err(err) => warn!("follow: writing a snapshot failed: {err}"),
    }
}

/// Asks peers for what they know more, whether or not the platform answers.
pub(crate) async fn follow_peers(node: Rc<Node>) {
    let mut ticks = ticker(node.settings.limits.follow_ms);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = node.changed.notified() => {}
        }
        if let Some(peer) = find_ahead(&node) {
            take_over_from(&node, peer).await;
        }
    }
}

/// Returns the peer with the newest head if it knows more than this router.
fn find_ahead(node: &Node) -> Option<SocketAddr> {
    let cores = node.cores.borrow();
    let own = cores.fold.head_offset().map_or(0, |offset| offset + 1);
    let lacks = cores.fold.gapped || cores.endpoints.is_empty();
    let needs = |head: u64| head > own || (lacks && head >= own && head > 0);
    let ahead = cores.members.peers(node.now()).map(|it| it.heartbeat).filter(|it| needs(it.head));
    ahead.max_by_key(|it| it.head).map(|it| it.peer)
}

async fn take_over_from(node: &Node, peer: SocketAddr) {
    let transfer = match peer::fetch_transfer(node, peer).await {
        Ok(transfer) => transfer,
        Err(err) => {
            warn!("follow: asking {peer} for what it knows failed: {err}");
            return;
        }
    };
    let before = node.cores.borrow().fold.head_offset();
    let verdict = node.cores.borrow_mut().fold.adopt(&transfer.head_replica);
    if verdict == ApplyOutcome::Restored && transfer.head_replica.head_offset() != before {
        info!("follow: took over the head of {peer}");
        put_in_force(node);
    }
    let endpoints = &mut node.cores.borrow_mut().endpoints;
    if endpoints.is_empty() && !transfer.endpoints.is_empty() {
        info!("follow: took over the endpoints of {peer}");
        endpoints.apply_vm_list(transfer.endpoints, &HashSet::new());
    }
}

/// Follows the VM list until it is dropped.
pub(crate) async fn follow_list(node: Rc<Node>) {
    let mut ticks = ticker(node.settings.limits.list_ms);
    loop {
        ticks.tick().await;
        // During an outage the last list stays in use.
        if let Ok(Some(vms)) = node.list.fetch_if_changed().await {
            absorb_list(&node, vms);
        }
    }
}

fn absorb_list(node: &Node, vms: Vec<Vm>) {
    let now = node.now();
    let cores = &mut *node.cores.borrow_mut();
    let mut infos = Vec::new();
    let mut leaving = HashSet::new();
    for vm in vms {
        match vm.kind {
            VmKind::Router => {
                if let Some(heartbeat) = first_heartbeat(&vm) {
                    cores.members.add_listed(heartbeat, now);
                }
            }
            VmKind::Engine => infos.push(to_info(&vm, EndpointKind::Engine)),
            VmKind::Service => infos.push(to_info(&vm, EndpointKind::Service)),
        }
        if vm.leaving {
            leaving.insert(EndpointId::from_name(&vm.name));
        }
    }
    cores.endpoints.apply_vm_list(infos, &leaving);
}

/// Makes a stand-in for the heartbeat of a router that is listed but has not
/// been heard of.
fn first_heartbeat(vm: &Vm) -> Option<Heartbeat> {
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

fn to_info(vm: &Vm, kind: EndpointKind) -> EndpointInfo {
    EndpointInfo {
        name: vm.name.clone(),
        kind,
        addr: vm.addr,
        data_centre: vm.data_centre.clone(),
        region: vm.region.clone(),
    }
}
