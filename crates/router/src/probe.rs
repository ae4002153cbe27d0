//! Health checks of the endpoints whose admission home is this router.

use std::{rc::Rc, time::Duration};

use mimosaledge_core::endpoints::{EndpointId, LoadReport};
use mimosaledge_net::{Error, Result, http::Call};
use mimosaledge_wire::Message;
use spdlog::{info, warn};
use tokio::time;

use crate::{admission, crashes, node::Node, peer, ready};

/// Probes the endpoints periodically until it is dropped.
pub(crate) async fn run(node: Rc<Node>) {
    let period = Duration::from_millis(node.settings.limits.probe_ms);
    let mut ticks = time::interval(period);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        for endpoint in endpoints_to_probe(&node) {
            tokio::task::spawn_local(probe(Rc::clone(&node), endpoint, period));
        }
        admission::process_all_queues(&node);
        ready::serve_if_ready(&node);
    }
}

fn endpoints_to_probe(node: &Node) -> Vec<EndpointId> {
    let now = node.now();
    let state = node.state.borrow();
    let own = state.members.own_router();
    let is_own = |id: EndpointId| state.members.admission_home(id.0, now).router == own;
    state.endpoints.iter().map(|(id, _)| id).filter(|&id| is_own(id)).collect()
}

async fn probe(node: Rc<Node>, endpoint: EndpointId, timeout: Duration) {
    let Some(addr) = node.state.borrow().endpoints.get(endpoint).map(|it| it.info.addr) else {
        return;
    };
    let call = Call::get(addr, "/load").timeout(timeout).meter(&node.probe_meter);
    let result = call.send_ok().await.and_then(|body| parse_report(&body));
    match result {
        Ok(report) => apply_report(&node, endpoint, report),
        Err(err) => record_failure(&node, endpoint, &err),
    }
}

fn parse_report(body: &[u8]) -> Result<LoadReport> {
    serde_json::from_slice(body).map_err(Error::malformed)
}

/// Applies a load report, and announces a crash or shutdown that it reveals.
fn apply_report(node: &Rc<Node>, id: EndpointId, report: LoadReport) {
    let now = node.now();
    let (crashed, began_leaving) = {
        let state = &mut *node.state.borrow_mut();
        let Some(endpoint) = state.endpoints.get_mut(id) else { return };
        let previous = endpoint.report.incarnation;
        let was_leaving = endpoint.is_leaving();
        endpoint.apply_report(report, true, now);
        state.gossip_queue.record_observation(id, now);
        let crashed = (previous != 0 && previous != report.incarnation).then_some(previous);
        (crashed, endpoint.is_leaving() && !was_leaving)
    };
    if let Some(incarnation) = crashed {
        crashes::report_crash(node, id, incarnation);
    }
    if began_leaving {
        announce_leaving(node, id);
    }
}

/// Announces to every peer that an endpoint is shutting down.
pub(crate) fn announce_leaving(node: &Node, id: EndpointId) {
    let (name, incarnation) = match node.state.borrow().endpoints.get(id) {
        Some(endpoint) => (endpoint.info.name.clone(), endpoint.report.incarnation),
        None => return,
    };
    info!("probe: {name} is shutting down");
    peer::broadcast(node, &Message::Leaving { endpoint: id, incarnation });
}

/// Records a failed probe.
fn record_failure(node: &Node, id: EndpointId, err: &Error) {
    let now = node.now();
    let state = &mut *node.state.borrow_mut();
    let Some(endpoint) = state.endpoints.get_mut(id) else { return };
    let previous_health = endpoint.health().to_owned();
    if err.is_connection_refused() {
        endpoint.record_refused_connection(now);
    } else {
        endpoint.record_failure(now);
    }
    if endpoint.health() != previous_health {
        warn!("probe: {} is {} after a failed probe: {err}", endpoint.info.name, endpoint.health());
    }
    state.gossip_queue.record_observation(id, now);
}
