//! A planned stop: new work off, open work finished, outcomes handed over.

use std::{rc::Rc, time::Duration};

use spdlog::info;
use tokio::time;

use crate::{gossip, idempotency, node::Node};

/// Interval between looks at what is still open.
const LOOK: Duration = Duration::from_millis(20);

/// How long a router that starts nothing more still answers, at least.
const LINGER: Duration = Duration::from_millis(200);

/// Begins the planned stop of a router.
#[derive(Clone)]
pub struct StopHandle {
    node: Rc<Node>,
}

impl StopHandle {
    /// Creates a handle on `node`.
    pub fn new(node: Rc<Node>) -> StopHandle {
        StopHandle { node }
    }

    /// Begins the stop; later calls do nothing.
    pub fn begin(&self) {
        begin(&self.node);
    }
}

/// Begins a planned stop.
pub(crate) fn begin(node: &Node) {
    let began = node.cores.borrow_mut().life.apply("stop");
    if began {
        info!("drain: planned stop begins with {} open requests", node.open_requests.get());
        gossip::tell_all(node);
        node.stop.notify_one();
    }
}

/// Waits for a planned stop to begin and carries it out.
pub(crate) async fn run(node: Rc<Node>) {
    node.stop.notified().await;
    if node.cores.borrow().life.is_in("stopped") {
        return;
    }
    let limits = &node.settings.limits;
    let deadline = node.now() + limits.drain_ms;
    // Callers may still hold locate answers that name this router.
    time::sleep(Duration::from_millis(limits.keep_ms)).await;
    while !is_idle(&node) && node.now() < deadline {
        time::sleep(LOOK).await;
    }
    advance(&node, if is_idle(&node) { "idle" } else { "grace_passed" });
    // Late requests learn that they were not run; then nobody connects any more.
    time::sleep(LINGER).await;
    while idempotency::has_pending_handovers(&node) && node.now() < deadline {
        time::sleep(LOOK).await;
    }
    advance(&node, "handed_over");
}

fn is_idle(node: &Node) -> bool {
    node.open_requests.get() == 0 && node.cores.borrow().home.open_count() == 0
}

fn advance(node: &Node, event: &str) {
    let mut cores = node.cores.borrow_mut();
    cores.life.apply(event);
    info!("drain: {} after {event}", cores.life.state());
}
