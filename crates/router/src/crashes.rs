//! Crashes of endpoints and the requests in flight on them.

use std::{cell::RefCell, collections::HashMap, rc::Rc};

use mimosaledge_core::{
    endpoints::EndpointId,
    quarantine::{CRASH_LIMIT, Crash},
};
use mimosaledge_wire::{CrashReport, Message};
use spdlog::warn;

use crate::{node::Node, peer};

/// Maximum number of fingerprints in a crash report, which must fit into a
/// datagram.
const MAX_FINGERPRINTS: usize = 100;

/// Fingerprints of the requests that this router has in flight on each endpoint.
#[derive(Debug, Clone, Default)]
pub(crate) struct InFlightRequests {
    counts: Rc<RefCell<HashMap<EndpointId, HashMap<u64, u32>>>>,
}

/// Counts a request as in flight on an endpoint until dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    in_flight: InFlightRequests,
    endpoint: EndpointId,
    fingerprint: u64,
}

impl InFlightRequests {
    /// Adds a request.
    pub(crate) fn add(&self, endpoint: EndpointId, fingerprint: u64) -> InFlightGuard {
        *self.counts.borrow_mut().entry(endpoint).or_default().entry(fingerprint).or_default() += 1;
        InFlightGuard { in_flight: self.clone(), endpoint, fingerprint }
    }

    fn fingerprints(&self, endpoint: EndpointId) -> Vec<u64> {
        let counts = self.counts.borrow();
        counts.get(&endpoint).map(|it| it.keys().copied().collect()).unwrap_or_default()
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut counts = self.in_flight.counts.borrow_mut();
        let Some(requests) = counts.get_mut(&self.endpoint) else { return };
        if let Some(count) = requests.get_mut(&self.fingerprint) {
            *count -= 1;
            if *count == 0 {
                requests.remove(&self.fingerprint);
            }
        }
        if requests.is_empty() {
            counts.remove(&self.endpoint);
        }
    }
}

/// Records a crash for the requests that were in flight on the endpoint, and
/// reports it to every peer; has no effect if there were none.
pub(crate) fn report_crash(node: &Rc<Node>, endpoint: EndpointId, incarnation: u32) {
    let crash = Crash { endpoint, incarnation };
    let mut fingerprints = node.in_flight.fingerprints(endpoint);
    fingerprints.truncate(MAX_FINGERPRINTS);
    if fingerprints.is_empty() {
        return;
    }
    let report = CrashReport { crash, fingerprints };
    if record(node, &report) {
        // Sent twice because datagrams may be lost; a duplicate has no effect.
        peer::broadcast(node, &Message::CrashReport(report.clone()));
        peer::broadcast(node, &Message::CrashReport(report));
    }
}

/// Handles a crash report from a peer.
pub(crate) fn handle_report(node: &Rc<Node>, report: &CrashReport) {
    record(node, report);
}

/// Records a crash report; returns whether it was new for any request.
fn record(node: &Rc<Node>, report: &CrashReport) -> bool {
    let now = node.now();
    let quarantine = &mut node.state.borrow_mut().quarantine;
    let mut is_new = false;
    for &fingerprint in &report.fingerprints {
        if quarantine.record_crash(fingerprint, report.crash, now) {
            let endpoint = report.crash.endpoint.0;
            warn!(
                "deaths: request {fingerprint:016x} was in flight when {endpoint:08x} crashed; limit {CRASH_LIMIT}"
            );
            is_new = true;
        }
    }
    is_new
}
