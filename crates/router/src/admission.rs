//! Admission of requests to engines through their admission homes.

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
    pending::Awaited,
};

/// Wait for a home's first word before the ask is repeated.
const REPEAT: Duration = Duration::from_millis(20);
/// Asks that a home may leave unanswered before another router stands in.
const TRIES: u32 = 3;
/// Wait for news of a queued request before the ask is repeated.
const QUEUE_REPEAT: Duration = Duration::from_millis(250);
/// How long a new home counts the engine's reported load as its own, in
/// milliseconds.
const INHERIT_MS: u64 = 2_000;
/// Slots assumed while no configuration is in force.
const NO_LIMITS: Limits =
    Limits { bound: 1.0, slots: 0, queue_limit: 0, others_load: 0, engines: 1 };

/// Leave to send one request to an engine, given back when dropped.
pub(crate) struct Admission {
    node: Rc<Node>,
    engine: EndpointId,
    id: AdmissionId,
    home: Option<Heartbeat>,
}

impl Admission {
    /// Turns to `home`; what another home may have let in or queued goes back.
    fn turn_to(&mut self, home: Heartbeat) {
        if self.home.is_some_and(|known| known.router != home.router) {
            self.give_back();
        }
        self.home = Some(home);
    }

    fn give_back(&self) {
        match self.home.filter(|home| home.router != self.node.own) {
            Some(home) => {
                let message = Message::Release { engine: self.engine, id: self.id };
                peer::send(&self.node, home.peer, &message);
            }
            None => release(&self.node, self.engine, self.id),
        }
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        self.give_back();
    }
}

/// What came of asking for admission.
pub(crate) enum Admitted {
    /// The request may go to the engine.
    Granted(Admission),
    /// The engine is at its bound; the value counts what runs and waits there.
    Full(u32),
    /// A copy of the request runs on the engine.
    Duplicate,
    /// The request is turned away; come back after this many milliseconds.
    Refused(u32),
}

/// Asks the admission home of `engine` to let a request in.
///
/// Waits as long as the ask allows for a place in the engine's queue.
pub(crate) async fn admit(
    node: &Rc<Node>,
    engine: EndpointId,
    mut ask: AdmissionRequest,
) -> Admitted {
    ask.id = AdmissionId { run: node.own.tag(), serial: node.next_serial() };
    let mut answers = node.admission_replies.register(ask.id);
    let deadline = node.now() + u64::from(ask.queue_ms) + QUEUE_REPEAT.as_millis() as u64;
    let mut pass = Admission { node: Rc::clone(node), engine, id: ask.id, home: None };
    loop {
        let home = node.cores.borrow().members.admission_home(engine.0, node.now());
        pass.turn_to(home);
        match ask_home(node, home, engine, &ask, &mut answers).await {
            Some(Decision::Granted { load }) => {
                note_load(node, engine, load);
                return Admitted::Granted(pass);
            }
            Some(Decision::Full { load, waiting }) => {
                note_load(node, engine, load);
                return Admitted::Full(load + waiting);
            }
            Some(Decision::Duplicate) => return Admitted::Duplicate,
            Some(Decision::Refused { retry_ms }) => return Admitted::Refused(retry_ms),
            Some(Decision::Queued) if node.now() < deadline => {}
            Some(Decision::Queued) => return Admitted::Refused(QUEUE_REPEAT.as_millis() as u32),
            None => {
                debug!("admission: home of {:08x} is silent", engine.0);
                node.cores.borrow_mut().members.mark_suspect(home.router.id, node.now());
            }
        }
    }
}

/// Takes in a load at first hand, which is newer than what gossip tells.
fn note_load(node: &Node, engine: EndpointId, load: u32) {
    loads::note(&mut node.cores.borrow_mut(), engine, load, node.now());
}

/// Returns the mean load of the engines that serve `model` in the region.
pub(crate) fn pool_mean(node: &Node, model: u32) -> f64 {
    let cores = node.cores.borrow();
    let region = &node.settings.region;
    let pool = cores.endpoints.live_engines(model).filter(|(_, it)| it.info.region == *region);
    let (count, total) = pool.fold((0u32, 0u32), |(n, sum), (_, it)| (n + 1, sum + it.admitted));
    f64::from(total + 1) / f64::from(count.max(1))
}

/// Asks one home until it decides, a queue wait ends, or it proves silent.
async fn ask_home(
    node: &Rc<Node>,
    home: Heartbeat,
    engine: EndpointId,
    ask: &AdmissionRequest,
    answers: &mut Awaited<AdmissionId, Decision>,
) -> Option<Decision> {
    if home.router == node.own {
        let verdict = decide(node, engine, *ask);
        return Some(wait_queued(verdict, answers).await);
    }
    for _ in 0..TRIES {
        peer::send(node, home.peer, &Message::Admit { engine, ask: *ask });
        if let Ok(Some(verdict)) = time::timeout(REPEAT, answers.next()).await {
            return Some(wait_queued(verdict, answers).await);
        }
    }
    None
}

async fn wait_queued(verdict: Decision, answers: &mut Awaited<AdmissionId, Decision>) -> Decision {
    if verdict != Decision::Queued {
        return verdict;
    }
    match time::timeout(QUEUE_REPEAT, answers.next()).await {
        Ok(Some(later)) => later,
        _ => Decision::Queued,
    }
}

/// Decides on an ask as the engine's admission home.
pub(crate) fn decide(node: &Node, engine: EndpointId, ask: AdmissionRequest) -> Decision {
    let now = node.now();
    let mut told = Vec::new();
    let verdict = {
        let cores = &mut *node.cores.borrow_mut();
        let limits = limits(cores, engine);
        let gate = open_gate(cores, engine, now);
        let verdict = gate.decide(ask, &limits, now, &mut told);
        // The ask may have brought news that lets others in.
        told.extend(gate.process_queue(&limits, now));
        update_admitted(cores, engine, now);
        verdict
    };
    tell(node, engine, told);
    verdict
}

/// Takes a grant or a place in the queue back as the engine's admission home.
pub(crate) fn release(node: &Node, engine: EndpointId, id: AdmissionId) {
    if let Some(gate) = node.cores.borrow_mut().gates.get_mut(&engine) {
        gate.release(id, node.now());
    }
    settle(node, engine);
}

/// Lets waiting requests in at every engine that this router is home of.
pub(crate) fn settle_all(node: &Node) {
    forget_empty_gates(node);
    let engines: Vec<EndpointId> = node.cores.borrow().gates.keys().copied().collect();
    for engine in engines {
        settle(node, engine);
    }
}

/// Takes back what dead routers held at this router's gates.
pub(crate) fn forget_dead_routers(node: &Node) {
    let now = node.now();
    let Cores { members, gates, .. } = &mut *node.cores.borrow_mut();
    let alive = members.alive_runs(now);
    for gate in gates.values_mut() {
        gate.retain_runs(&alive);
    }
}

/// Drops the gates that have passed to another home and have run empty.
fn forget_empty_gates(node: &Node) {
    let now = node.now();
    let cores = &mut *node.cores.borrow_mut();
    let gates = std::mem::take(&mut cores.gates);
    let kept = |engine: EndpointId, gate: &AdmissionController| {
        gate.load() > 0 || is_home(cores, engine, now)
    };
    cores.gates = gates.into_iter().filter(|(engine, gate)| kept(*engine, gate)).collect();
}

fn is_home(cores: &Cores, engine: EndpointId, now: Millis) -> bool {
    cores.members.admission_home(engine.0, now).router == cores.members.own_router()
}

fn settle(node: &Node, engine: EndpointId) {
    let now = node.now();
    let verdicts = {
        let cores = &mut *node.cores.borrow_mut();
        let limits = limits(cores, engine);
        let Some(gate) = cores.gates.get_mut(&engine) else { return };
        let verdicts = gate.process_queue(&limits, now);
        update_admitted(cores, engine, now);
        verdicts
    };
    tell(node, engine, verdicts);
}

fn open_gate(cores: &mut Cores, engine: EndpointId, now: Millis) -> &mut AdmissionController {
    let reported = cores.endpoints.get(engine).map_or(0, |it| it.report.load);
    cores
        .gates
        .entry(engine)
        .or_insert_with(|| AdmissionController::with_inherited_load(reported, now + INHERIT_MS))
}

fn update_admitted(cores: &mut Cores, engine: EndpointId, now: Millis) {
    if !is_home(cores, engine, now) {
        return;
    }
    let load = cores.gates.get(&engine).map_or(0, AdmissionController::load);
    if let Some(endpoint) = cores.endpoints.get_mut(engine) {
        endpoint.admitted = load;
    }
}

/// Sends decisions to the routers that wait for them.
fn tell(node: &Node, engine: EndpointId, verdicts: Vec<(AdmissionId, Decision)>) {
    for (id, verdict) in verdicts {
        if id.run == node.own.tag() {
            if !node.admission_replies.deliver(&id, verdict) && verdict.is_granted() {
                release(node, engine, id);
            }
            continue;
        }
        let peer = node.cores.borrow().members.peer_address(id.run);
        if let Some(peer) = peer {
            peer::send(node, peer, &Message::AdmitReply { engine, id, verdict });
        }
    }
}

/// Returns the limits of `engine` under the preset in force.
fn limits(cores: &Cores, engine: EndpointId) -> Limits {
    let Some(active) = cores.config_state.active() else { return NO_LIMITS };
    let Some(this) = cores.endpoints.get(engine) else { return NO_LIMITS };
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
