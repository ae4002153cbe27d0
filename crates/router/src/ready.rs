//! The readiness check of a router that has just started.

use spdlog::info;

use crate::{gossip, node::Node};

/// Maximum wait for a peer's heartbeat and the health of every endpoint, in
/// milliseconds.
const MAX_STARTUP_WAIT_MS: u64 = 3_000;

/// Moves the router from starting to serving once it is ready.
pub(crate) fn serve_if_ready(node: &Node) {
    if !node.state.borrow().lifecycle.is_in("starting") || !is_ready(node) {
        return;
    }
    node.state.borrow_mut().lifecycle.apply("ready");
    info!("start: ready after {} ms", node.now().0);
    gossip::broadcast(node);
}

/// Returns whether the router has a configuration and a live endpoint, and
/// either has received a heartbeat from a peer (if any is known) and knows the
/// health of every endpoint, or has waited for [`MAX_STARTUP_WAIT_MS`].
fn is_ready(node: &Node) -> bool {
    let state = node.state.borrow();
    let is_configured = state.config_state.active().is_some();
    let has_live_endpoint = state.endpoints.iter().any(|(_, it)| it.is_live());
    let is_health_known = state.endpoints.iter().all(|(_, it)| it.health() != "unproven");
    let has_joined_fleet = state.members.has_no_peers() || state.members.has_heard_from_peer();
    let is_timed_out = node.now().0 >= MAX_STARTUP_WAIT_MS;
    is_configured && has_live_endpoint && (is_timed_out || is_health_known && has_joined_fleet)
}
