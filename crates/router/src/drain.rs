//! Graceful shutdown: the router finishes the open requests, and then the transfer of
//! key outcomes to their witnesses.

use std::{rc::Rc, time::Duration};

use spdlog::info;
use tokio::time;

use crate::{gossip, idempotency, node::Node};

/// Interval between checks for open work.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Minimum time for which a drained router still responds to late requests, to refuse
/// them.
const REFUSAL_PERIOD: Duration = Duration::from_millis(200);

/// Handle that begins the graceful shutdown of a router.
#[derive(Clone)]
pub struct StopHandle {
    node: Rc<Node>,
}

impl StopHandle {
    /// Creates a handle for `node`.
    pub fn new(node: Rc<Node>) -> StopHandle {
        StopHandle { node }
    }

    /// Begins the shutdown; later calls have no effect.
    pub fn begin(&self) {
        begin(&self.node);
    }
}

/// Begins a graceful shutdown.
pub(crate) fn begin(node: &Node) {
    let began = node.state.borrow_mut().lifecycle.apply("stop");
    if began {
        info!("drain: graceful shutdown begun with {} open requests", node.open_requests.get());
        gossip::broadcast(node);
        node.shutdown_begun.notify_one();
    }
}

/// Waits for a graceful shutdown to begin and carries it out.
pub(crate) async fn run(node: Rc<Node>) {
    node.shutdown_begun.notified().await;
    if node.state.borrow().lifecycle.is_in("stopped") {
        return;
    }
    let limits = &node.settings.limits;
    let deadline = node.now() + limits.drain_ms;
    // Clients that cached a `/locate` response may still send requests, which are
    // accepted.
    time::sleep(Duration::from_millis(limits.keep_ms)).await;
    while !is_idle(&node) && node.now() < deadline {
        time::sleep(POLL_INTERVAL).await;
    }
    apply_event(&node, if is_idle(&node) { "idle" } else { "grace_passed" });
    // Late requests are refused as not run; after this period no client is expected
    // to connect any more.
    time::sleep(REFUSAL_PERIOD).await;
    while idempotency::has_pending_handovers(&node) && node.now() < deadline {
        time::sleep(POLL_INTERVAL).await;
    }
    apply_event(&node, "handed_over");
}

fn is_idle(node: &Node) -> bool {
    node.open_requests.get() == 0 && node.state.borrow().key_home.open_count() == 0
}

fn apply_event(node: &Node, event: &str) {
    let mut state = node.state.borrow_mut();
    state.lifecycle.apply(event);
    info!("drain: {} after {event}", state.lifecycle.state());
}
