//! Probes of the endpoints that this router is admission home of.

use std::{rc::Rc, time::Duration};

use mimosaledge_core::endpoints::{EndpointId, LoadReport};
use mimosaledge_net::{Error, Result, http::Call};
use mimosaledge_wire::Message;
use spdlog::{info, warn};
use tokio::time;

use crate::{admission, crashes, node::Node, peer, ready};

/// Probes until it is dropped.
pub(crate) async fn run(node: Rc<Node>) {
    let period = Duration::from_millis(node.settings.limits.probe_ms);
    let mut ticks = time::interval(period);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        for endpoint in own_endpoints(&node) {
            tokio::task::spawn_local(probe(Rc::clone(&node), endpoint, period));
        }
        admission::process_all_queues(&node);
        ready::check(&node);
    }
}

fn own_endpoints(node: &Node) -> Vec<EndpointId> {
    let now = node.now();
    let cores = node.cores.borrow();
    let own = cores.members.own_router();
    let is_own = |id: EndpointId| cores.members.admission_home(id.0, now).router == own;
    cores.endpoints.iter().map(|(id, _)| id).filter(|&id| is_own(id)).collect()
}

async fn probe(node: Rc<Node>, endpoint: EndpointId, timeout: Duration) {
    let Some(addr) = node.cores.borrow().endpoints.get(endpoint).map(|it| it.info.addr) else {
        return;
    };
    let call = Call::get(addr, "/load").timeout(timeout).meter(&node.probe_meter);
    let answer = call.send_ok().await.and_then(|body| parse(&body));
    match answer {
        Ok(report) => absorb_report(&node, endpoint, report),
        Err(err) => absorb_failure(&node, endpoint, &err),
    }
}

fn parse(body: &[u8]) -> Result<LoadReport> {
    serde_json::from_slice(body).map_err(Error::malformed)
}

fn absorb_report(node: &Rc<Node>, id: EndpointId, report: LoadReport) {
    let now = node.now();
    let (died, began_leaving) = {
        let cores = &mut *node.cores.borrow_mut();
        let Some(endpoint) = cores.endpoints.get_mut(id) else { return };
        let previous = endpoint.report.incarnation;
        let was_leaving = endpoint.is_leaving();
        endpoint.apply_report(report, true, now);
        cores.digest.observe(id, now);
        let died = (previous != 0 && previous != report.incarnation).then_some(previous);
        (died, endpoint.is_leaving() && !was_leaving)
    };
    if let Some(incarnation) = died {
        crashes::report_crash(node, id, incarnation);
    }
    if began_leaving {
        announce_leaving(node, id);
    }
}

/// Tells every peer that an endpoint has given notice that it leaves.
pub(crate) fn announce_leaving(node: &Node, id: EndpointId) {
    let (name, incarnation) = match node.cores.borrow().endpoints.get(id) {
        Some(endpoint) => (endpoint.info.name.clone(), endpoint.report.incarnation),
        None => return,
    };
    info!("probe: {name} gave notice that it leaves");
    peer::broadcast(node, &Message::Leaving { endpoint: id, incarnation });
}

fn absorb_failure(node: &Node, id: EndpointId, err: &Error) {
    let now = node.now();
    let cores = &mut *node.cores.borrow_mut();
    let Some(endpoint) = cores.endpoints.get_mut(id) else { return };
    let before = endpoint.health().to_owned();
    if err.is_connection_refused() {
        endpoint.record_refused_connection(now);
    } else {
        endpoint.record_failure(now);
    }
    if endpoint.health() != before {
        warn!("probe: {} is {} after a failed probe: {err}", endpoint.info.name, endpoint.health());
    }
    cores.digest.observe(id, now);
}
