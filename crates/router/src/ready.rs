//! When a router that has started begins to serve.

use spdlog::info;

use crate::{gossip, node::Node};

/// Longest wait for peers and for probes of every endpoint, in milliseconds.
const START_LIMIT_MS: u64 = 3_000;

/// Begins to serve once the router knows enough of the fleet.
pub(crate) fn check(node: &Node) {
    if !node.cores.borrow().life.is_in("starting") || !is_ready(node) {
        return;
    }
    node.cores.borrow_mut().life.apply("ready");
    info!("start: ready after {} ms", node.now().0);
    gossip::tell_all(node);
}

/// Returns whether the router has a configuration, a live endpoint and, unless
/// that takes long, a peer and a judgement of every endpoint.
fn is_ready(node: &Node) -> bool {
    let cores = node.cores.borrow();
    let is_configured = cores.in_force.active().is_some();
    let can_serve = cores.endpoints.iter().any(|(_, it)| it.is_live());
    let is_judged = cores.endpoints.iter().all(|(_, it)| it.health() != "unproven");
    let has_peers = cores.members.has_no_peers() || cores.members.has_heard_from_peer();
    let is_late = node.now().0 >= START_LIMIT_MS;
    is_configured && can_serve && (is_late || is_judged && has_peers)
}
