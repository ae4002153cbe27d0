//! The choice of an engine for a request.

use std::{fmt, rc::Rc, time::Duration};

use mimosaledge_core::{
    Code,
    admission::{AdmissionId, AdmissionRequest},
    endpoints::EndpointId,
    hash::hash32,
    placement::{ChatView, EngineView},
};
use spdlog::info;
use tokio::time;

use crate::{
    admission::{Admission, Admitted, admit, pool_mean},
    node::Node,
    request::Ask,
    start::NotStarted,
};

/// Engines asked for room before the request queues at the least loaded one.
const MAX_ASKED: usize = 4;
/// Wait for the engine that holds a chat's prefix before the chat moves on.
/// It is short beside the limit on the first token, and a move costs the
/// prefix.
const PATIENCE: Duration = Duration::from_millis(50);

/// Ranks the live engines of the region for a request.
pub(crate) fn rank(node: &Node, ask: &Ask, is_suspect: bool) -> (Vec<EndpointId>, bool) {
    let cores = &mut *node.cores.borrow_mut();
    let engines: Vec<EngineView> = cores
        .endpoints
        .live_engines(hash32(ask.model.as_bytes()))
        .filter(|(_, it)| it.info.region == node.settings.region)
        .map(|(id, it)| EngineView {
            id,
            incarnation: it.report.incarnation,
            reported: it.report.load,
            admitted: it.admitted,
        })
        .collect();
    let chat = if is_suspect {
        ChatView { key: ask.fingerprint, hint: None }
    } else {
        ChatView { key: ask.chat_key(), hint: ask.hint }
    };
    let mut ranked = cores.policy.rank(&chat, &engines);
    if is_suspect {
        // All copies of a suspect go to one engine, so that they cost but one.
        ranked.truncate(1);
    }
    (ranked, cores.policy.uses_admission())
}

/// Why an engine was chosen.
pub(crate) enum Reason {
    /// It came at this place in the ranking and had room.
    Ranked(usize),
    /// Engines were at their bound; this one had the shortest queue with room.
    LeastLoaded,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::Ranked(0) => f.write_str("first choice"),
            Reason::Ranked(place) => write!(f, "choice {} had room", place + 1),
            Reason::LeastLoaded => f.write_str("least loaded after waiting"),
        }
    }
}

/// The engine chosen for a request.
pub(crate) struct Placed {
    /// The engine.
    pub(crate) engine: EndpointId,
    /// Leave to use it, if the policy asks for leave.
    pub(crate) admission: Option<Admission>,
    /// Why it was chosen.
    pub(crate) reason: Reason,
}

/// Finds an engine with room, or queues at one of those asked.
pub(crate) async fn place(
    node: &Rc<Node>,
    ask: &Ask,
    ranked: &[EndpointId],
    is_suspect: bool,
) -> Result<Placed, NotStarted> {
    let mut full: Vec<(u32, EndpointId)> = Vec::new();
    for (at, &engine) in ranked.iter().take(MAX_ASKED).enumerate() {
        let is_warm = ask.hint.is_some_and(|hint| hint.engine == engine);
        let patience = if is_warm { PATIENCE } else { Duration::ZERO };
        match admit_soon(node, engine, ask, is_suspect, patience).await {
            Admitted::Granted(admission) => {
                let admission = Some(admission);
                return Ok(Placed { engine, admission, reason: Reason::Ranked(at) });
            }
            Admitted::Full(load) => full.push((load, engine)),
            Admitted::Refused(_) => {}
            Admitted::Duplicate => {
                full = vec![(0, engine)];
                break;
            }
        }
    }
    full.sort_by_key(|(load, _)| *load);
    queue(node, ask, &full, is_suspect).await
}

/// Queues at the least loaded engine whose queue has room.
async fn queue(
    node: &Rc<Node>,
    ask: &Ask,
    full: &[(u32, EndpointId)],
    is_suspect: bool,
) -> Result<Placed, NotStarted> {
    let mut retry_ms = None;
    for &(_, engine) in full {
        let queue_ms = ask.class.queue_ms.min(ask.time_left(node.now()));
        match admit(node, engine, gate_ask(node, ask, is_suspect, queue_ms)).await {
            Admitted::Granted(admission) => {
                let admission = Some(admission);
                return Ok(Placed { engine, admission, reason: Reason::LeastLoaded });
            }
            Admitted::Refused(ms) => retry_ms = Some(ms),
            Admitted::Full(_) | Admitted::Duplicate => {}
        }
        if node.now().since(ask.arrived) >= ask.class.queue_ms {
            break;
        }
    }
    Err(NotStarted { code: Code::Overloaded, retry_ms })
}

/// Asks for admission and waits for at most `patience`.
async fn admit_soon(
    node: &Rc<Node>,
    engine: EndpointId,
    ask: &Ask,
    is_suspect: bool,
    patience: Duration,
) -> Admitted {
    let queue_ms = patience.as_millis() as u64;
    let gate_ask = gate_ask(node, ask, is_suspect, queue_ms);
    if patience.is_zero() {
        return admit(node, engine, gate_ask).await;
    }
    // Giving up the wait gives the place in the queue back.
    time::timeout(patience, admit(node, engine, gate_ask)).await.unwrap_or(Admitted::Full(u32::MAX))
}

fn gate_ask(node: &Node, ask: &Ask, suspect: bool, queue_ms: u64) -> AdmissionRequest {
    AdmissionRequest {
        id: AdmissionId::default(),
        workspace: ask.workspace_hash(),
        share: ask.share as f32,
        priority: ask.class.priority,
        queue_ms: queue_ms as u32,
        grant_ttl_ms: ask.time_left(node.now()) as u32,
        fingerprint: ask.fingerprint as u32,
        suspect,
        observed_mean: pool_mean(node, hash32(ask.model.as_bytes())) as f32,
    }
}

/// Logs where a request goes, and why.
pub(crate) fn log_route(node: &Node, ask: &Ask, engine: EndpointId, reason: &Reason) {
    let waited = node.now().since(ask.arrived);
    let cores = node.cores.borrow();
    let name = cores.endpoints.get(engine).map_or("unknown", |it| &it.info.name);
    info!(
        "route: {} of {} chat {} class {} to {name}: {reason}, {waited} ms",
        ask.run_id, ask.workspace, ask.chat, ask.class_name
    );
}
