//! Deaths of endpoints and the requests that were open at them.

use std::{cell::RefCell, collections::HashMap, rc::Rc};

use mimosaledge_core::{
    endpoints::EndpointId,
    quarantine::{CRASH_LIMIT, Crash},
};
use mimosaledge_wire::{CrashReport, Message};
use spdlog::warn;

use crate::{node::Node, peer};

/// Fingerprints in one datagram.
const MAX_FINGERPRINTS: usize = 100;

/// Fingerprints of the requests open at each endpoint through this router.
#[derive(Debug, Clone, Default)]
pub(crate) struct OpenWork {
    counts: Rc<RefCell<HashMap<EndpointId, HashMap<u64, u32>>>>,
}

/// Counts a request as open at an endpoint until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenGuard {
    work: OpenWork,
    endpoint: EndpointId,
    fingerprint: u64,
}

impl OpenWork {
    /// Counts a request as open.
    pub(crate) fn open(&self, endpoint: EndpointId, fingerprint: u64) -> OpenGuard {
        *self.counts.borrow_mut().entry(endpoint).or_default().entry(fingerprint).or_default() += 1;
        OpenGuard { work: self.clone(), endpoint, fingerprint }
    }

    fn fingerprints(&self, endpoint: EndpointId) -> Vec<u64> {
        let counts = self.counts.borrow();
        counts.get(&endpoint).map(|it| it.keys().copied().collect()).unwrap_or_default()
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        let mut counts = self.work.counts.borrow_mut();
        let Some(open) = counts.get_mut(&self.endpoint) else { return };
        if let Some(count) = open.get_mut(&self.fingerprint) {
            *count -= 1;
            if *count == 0 {
                open.remove(&self.fingerprint);
            }
        }
        if open.is_empty() {
            counts.remove(&self.endpoint);
        }
    }
}

/// Blames the requests that are open at an endpoint whose process has died,
/// and tells every peer.
pub(crate) fn endpoint_died(node: &Rc<Node>, endpoint: EndpointId, incarnation: u32) {
    let death = Crash { endpoint, incarnation };
    let mut fingerprints = node.open_work.fingerprints(endpoint);
    fingerprints.truncate(MAX_FINGERPRINTS);
    if fingerprints.is_empty() {
        return;
    }
    let blame = CrashReport { crash: death, fingerprints };
    if note(node, &blame) {
        // Once more for datagrams that are lost; repeats do no harm.
        peer::broadcast(node, &Message::CrashReport(blame.clone()));
        peer::broadcast(node, &Message::CrashReport(blame));
    }
}

/// Takes in the blame that a peer has laid.
pub(crate) fn absorb(node: &Rc<Node>, blame: &CrashReport) {
    note(node, blame);
}

/// Notes a blame; returns whether any of it was news.
fn note(node: &Rc<Node>, blame: &CrashReport) -> bool {
    let now = node.now();
    let quarantine = &mut node.cores.borrow_mut().quarantine;
    let mut news = false;
    for &fingerprint in &blame.fingerprints {
        if quarantine.record_crash(fingerprint, blame.crash, now) {
            let endpoint = blame.crash.endpoint.0;
            warn!(
                "deaths: request {fingerprint:016x} was open when {endpoint:08x} died; limit {CRASH_LIMIT}"
            );
            news = true;
        }
    }
    news
}
