//! Admission control for engines.
//!
//! Each engine has one admission home, the router that runs its admission
//! controller. Other routers send their admission requests to the home.

use std::{rc::Rc, time::Duration};

use mimosaledge_core::{
    Millis,
    admission::{AdmissionController, AdmissionId, AdmissionRequest, Decision, Limits},
    config::Preset,
    endpoints::{EndpointId, EndpointKind},
    members::Heartbeat,
};
use mimosaledge_wire::Message;
use spdlog::debug;
use tokio::time;

use crate::{
    loads,
    node::{Cores, Node, preset},
    peer,
    pending::ReplyReceiver,
};

/// Wait for a home's first reply before the request is retransmitted.
const RETRANSMIT_INTERVAL: Duration = Duration::from_millis(20);
/// Number of unanswered requests after which the home is suspected to have failed
/// and another router takes its place.
const MAX_SENDS: u32 = 3;
/// Wait for the decision on a queued request before the request is sent again.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which a new admission home counts the load that the engine reported
/// in place of the unknown grants of the previous home, in milliseconds.
const INHERITED_LOAD_TTL_MS: u64 = 2_000;
/// Limits that admit no request, used while no configuration is active or the
/// engine is unknown.
const ADMIT_NONE: Limits =
    Limits { bound: 1.0, slots: 0, queue_limit: 0, others_load: 0, engines: 1 };

/// A permit to send one request to an engine, released on drop.
///
/// Dropping it before it is granted removes the request from the queue.
pub(crate) struct AdmissionPermit {
    node: Rc<Node>,
    engine: EndpointId,
    id: AdmissionId,
    home: Option<Heartbeat>,
}

impl AdmissionPermit {
    /// Sets the home that decides, and releases what a previous home may have
    /// granted or queued.
    fn set_home(&mut self, home: Heartbeat) {
        if self.home.is_some_and(|known| known.router != home.router) {
            self.release();
        }
        self.home = Some(home);
    }

    fn release(&self) {
        match self.home.filter(|home| home.router != self.node.own) {
            Some(home) => {
                let message = Message::Release { engine: self.engine, id: self.id };
                peer::send(&self.node, home.peer, &message);
            }
            None => release(&self.node, self.engine, self.id),
        }
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        self.release();
    }
}

/// The result of an admission request.
pub(crate) enum AdmissionOutcome {
    /// The request was admitted.
    Granted(AdmissionPermit),
    /// The engine is at its load limit; the value is the number of admitted and
    /// queued requests.
    Full(u32),
    /// A copy of the request is running on the engine.
    Duplicate,
    /// The request was rejected; the caller may retry after this many milliseconds.
    Refused(u32),
}

/// Requests admission from the admission home of `engine`.
///
/// The request may be queued for at most its `queue_ms`.
pub(crate) async fn admit(
    node: &Rc<Node>,
    engine: EndpointId,
    mut request: AdmissionRequest,
) -> AdmissionOutcome {
    request.id = AdmissionId { run: node.own.tag(), serial: node.next_serial() };
    let mut replies = node.verdicts.register(request.id);
    let deadline =
        node.now() + u64::from(request.queue_ms) + QUEUE_POLL_INTERVAL.as_millis() as u64;
    let mut permit = AdmissionPermit { node: Rc::clone(node), engine, id: request.id, home: None };
    loop {
        let home = node.cores.borrow().members.admission_home(engine.0, node.now());
        permit.set_home(home);
        match request_from_home(node, home, engine, &request, &mut replies).await {
            Some(Decision::Granted { load }) => {
                record_load(node, engine, load);
                return AdmissionOutcome::Granted(permit);
            }
            Some(Decision::Full { load, waiting }) => {
                record_load(node, engine, load);
                return AdmissionOutcome::Full(load + waiting);
            }
            Some(Decision::Duplicate) => return AdmissionOutcome::Duplicate,
            Some(Decision::Refused { retry_ms }) => return AdmissionOutcome::Refused(retry_ms),
            Some(Decision::Queued) if node.now() < deadline => {}
            Some(Decision::Queued) => {
                return AdmissionOutcome::Refused(QUEUE_POLL_INTERVAL.as_millis() as u32);
            }
            None => {
                debug!("admission: home of engine {:08x} did not reply", engine.0);
                node.cores.borrow_mut().members.mark_suspect(home.router.id, node.now());
            }
        }
    }
}

/// Records a load that the home has just reported, which is newer than any load
/// received from another router.
fn record_load(node: &Node, engine: EndpointId, load: u32) {
    loads::record(&mut node.cores.borrow_mut(), engine, load, node.now());
}

/// Returns the mean load that the engines of the region that serve `model` have
/// with one more request.
pub(crate) fn mean_pool_load(node: &Node, model: u32) -> f64 {
    let cores = node.cores.borrow();
    let region = &node.settings.region;
    let pool = cores.endpoints.live_engines(model).filter(|(_, it)| it.info.region == *region);
    let (count, total) = pool.fold((0u32, 0u32), |(n, sum), (_, it)| (n + 1, sum + it.admitted));
    f64::from(total + 1) / f64::from(count.max(1))
}

/// Sends an admission request to one home.
///
/// Returns `None` if the home does not reply, and [`Decision::Queued`] if the
/// request is still queued after [`QUEUE_POLL_INTERVAL`].
async fn request_from_home(
    node: &Rc<Node>,
    home: Heartbeat,
    engine: EndpointId,
    request: &AdmissionRequest,
    replies: &mut ReplyReceiver<AdmissionId, Decision>,
) -> Option<Decision> {
    if home.router == node.own {
        let decision = decide(node, engine, *request);
        return Some(wait_while_queued(decision, replies).await);
    }
    for _ in 0..MAX_SENDS {
        peer::send(node, home.peer, &Message::Admit { engine, request: *request });
        if let Ok(Some(decision)) = time::timeout(RETRANSMIT_INTERVAL, replies.next()).await {
            return Some(wait_while_queued(decision, replies).await);
        }
    }
    None
}

/// Waits up to [`QUEUE_POLL_INTERVAL`] for the next decision if the request is
/// queued.
async fn wait_while_queued(
    decision: Decision,
    replies: &mut ReplyReceiver<AdmissionId, Decision>,
) -> Decision {
    if decision != Decision::Queued {
        return decision;
    }
    match time::timeout(QUEUE_POLL_INTERVAL, replies.next()).await {
        Ok(Some(update)) => update,
        _ => Decision::Queued,
    }
}

/// Decides on a request as the engine's admission home.
pub(crate) fn decide(node: &Node, engine: EndpointId, request: AdmissionRequest) -> Decision {
    let now = node.now();
    let mut other_decisions = Vec::new();
    let decision = {
        let cores = &mut *node.cores.borrow_mut();
        let limits = limits(cores, engine);
        let controller = get_or_create_controller(cores, engine, now);
        let decision = controller.decide(request, &limits, now, &mut other_decisions);
        // The request may carry a higher mean load, which raises the load limit
        // for queued requests too.
        other_decisions.extend(controller.process_queue(&limits, now));
        update_admitted(cores, engine, now);
        decision
    };
    send_decisions(node, engine, other_decisions);
    decision
}

/// Releases a grant or a queue entry as the engine's admission home.
pub(crate) fn release(node: &Node, engine: EndpointId, id: AdmissionId) {
    if let Some(controller) = node.cores.borrow_mut().gates.get_mut(&engine) {
        controller.release(id, node.now());
    }
    process_queue(node, engine);
}

/// Processes the queues of all of this router's admission controllers.
pub(crate) fn process_all_queues(node: &Node) {
    remove_former_controllers(node);
    let engines: Vec<EndpointId> = node.cores.borrow().gates.keys().copied().collect();
    for engine in engines {
        process_queue(node, engine);
    }
}

/// Removes the grants and queued requests of routers that are no longer alive.
pub(crate) fn remove_grants_of_dead_routers(node: &Node) {
    let now = node.now();
    let Cores { members, gates, .. } = &mut *node.cores.borrow_mut();
    let alive = members.alive_runs(now);
    for controller in gates.values_mut() {
        controller.retain_runs(&alive);
    }
}

/// Removes the controllers that hold no grants and whose engine has moved to
/// another home.
fn remove_former_controllers(node: &Node) {
    let now = node.now();
    let cores = &mut *node.cores.borrow_mut();
    let gates = std::mem::take(&mut cores.gates);
    let is_needed = |engine: EndpointId, controller: &AdmissionController| {
        controller.load() > 0 || is_home(cores, engine, now)
    };
    cores.gates =
        gates.into_iter().filter(|(engine, controller)| is_needed(*engine, controller)).collect();
}

fn is_home(cores: &Cores, engine: EndpointId, now: Millis) -> bool {
    cores.members.admission_home(engine.0, now).router == cores.members.own_router()
}

fn process_queue(node: &Node, engine: EndpointId) {
    let now = node.now();
    let decisions = {
        let cores = &mut *node.cores.borrow_mut();
        let limits = limits(cores, engine);
        let Some(controller) = cores.gates.get_mut(&engine) else { return };
        let decisions = controller.process_queue(&limits, now);
        update_admitted(cores, engine, now);
        decisions
    };
    send_decisions(node, engine, decisions);
}

/// Returns the engine's admission controller; a new one inherits the load that the
/// engine reported.
fn get_or_create_controller(
    cores: &mut Cores,
    engine: EndpointId,
    now: Millis,
) -> &mut AdmissionController {
    let reported = cores.endpoints.get(engine).map_or(0, |it| it.report.load);
    cores.gates.entry(engine).or_insert_with(|| {
        AdmissionController::with_inherited_load(reported, now + INHERITED_LOAD_TTL_MS)
    })
}

/// Publishes the controller's load as the engine's admitted load, unless another
/// router is the engine's home.
fn update_admitted(cores: &mut Cores, engine: EndpointId, now: Millis) {
    if !is_home(cores, engine, now) {
        return;
    }
    let load = cores.gates.get(&engine).map_or(0, AdmissionController::load);
    if let Some(endpoint) = cores.endpoints.get_mut(engine) {
        endpoint.admitted = load;
    }
}

/// Sends decisions to the routers that requested them.
///
/// A grant of this router's own is released if its request no longer waits.
fn send_decisions(node: &Node, engine: EndpointId, decisions: Vec<(AdmissionId, Decision)>) {
    for (id, decision) in decisions {
        if id.run == node.own.tag() {
            if !node.verdicts.deliver(&id, decision) && decision.is_granted() {
                release(node, engine, id);
            }
            continue;
        }
        let peer = node.cores.borrow().members.peer_address(id.run);
        if let Some(peer) = peer {
            peer::send(node, peer, &Message::AdmitReply { engine, id, decision });
        }
    }
}

/// Returns the limits of `engine` under the active preset.
fn limits(cores: &Cores, engine: EndpointId) -> Limits {
    let Some(active) = cores.in_force.active() else { return ADMIT_NONE };
    let Some(this) = cores.endpoints.get(engine) else { return ADMIT_NONE };
    let Preset { load_bound, engine_slots, queue_limit, .. } = *preset(active);
    let pool = cores.endpoints.live_engines(this.report.model);
    let others: Vec<u32> = pool
        .filter(|(id, it)| *id != engine && it.info.region == this.info.region)
        .map(|(_, it)| it.admitted)
        .collect();
    debug_assert_eq!(this.info.kind, EndpointKind::Engine);
    Limits {
        bound: load_bound,
        slots: engine_slots,
        queue_limit,
        others_load: others.iter().sum(),
        engines: others.len() as u32 + 1,
    }
}
