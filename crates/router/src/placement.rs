//! Selection of the engine that runs a request.

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
    admission::{AdmissionOutcome, AdmissionPermit, admit, mean_pool_load},
    node::Node,
    request::ClientRequest,
    start::NotStarted,
};

/// Maximum number of engines asked for admission before the request queues at the
/// least loaded of them.
const MAX_CANDIDATES: usize = 4;
/// Maximum wait in the queue of the engine whose prefix cache holds the chat's
/// prompt, before other engines are tried.
///
/// Another engine would have to compute the prefix again, and the wait is short
/// compared with the time limit for the first token.
const WARM_ENGINE_WAIT: Duration = Duration::from_millis(50);

/// Ranks the live engines of the region for a request, best first; also returns
/// whether the policy uses admission control.
pub(crate) fn rank(
    node: &Node,
    request: &ClientRequest,
    is_suspect: bool,
) -> (Vec<EndpointId>, bool) {
    let state = &mut *node.state.borrow_mut();
    let engines: Vec<EngineView> = state
        .endpoints
        .live_engines(hash32(request.model.as_bytes()))
        .filter(|(_, it)| it.info.region == node.settings.region)
        .map(|(id, it)| EngineView {
            id,
            incarnation: it.report.incarnation,
            reported: it.report.load,
            admitted: it.admitted,
        })
        .collect();
    let chat = if is_suspect {
        ChatView { key: request.fingerprint, hint: None }
    } else {
        ChatView { key: request.chat_hash(), hint: request.hint }
    };
    let mut ranked = state.policy.rank(&chat, &engines);
    if is_suspect {
        // All copies of a suspected request go to one engine, so that they crash
        // only that one.
        ranked.truncate(1);
    }
    (ranked, state.policy.uses_admission())
}

/// Why an engine was chosen.
pub(crate) enum PlacementReason {
    /// It had capacity and was at this position of the ranking, from 0.
    Ranked(usize),
    /// All engines asked were at their limit; this was the least loaded one
    /// whose queue admitted the request.
    LeastLoaded,
}

impl fmt::Display for PlacementReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlacementReason::Ranked(0) => f.write_str("first choice"),
            PlacementReason::Ranked(position) => write!(f, "choice {} had capacity", position + 1),
            PlacementReason::LeastLoaded => f.write_str("least loaded, after queueing"),
        }
    }
}

/// The engine chosen for a request.
pub(crate) struct Placement {
    /// The engine.
    pub(crate) engine: EndpointId,
    /// The admission permit, if the policy uses admission control.
    pub(crate) permit: Option<AdmissionPermit>,
    /// Why it was chosen.
    pub(crate) reason: PlacementReason,
}

/// Selects the first engine with capacity, or queues the request at the least loaded
/// of the engines asked.
pub(crate) async fn place(
    node: &Rc<Node>,
    request: &ClientRequest,
    ranked: &[EndpointId],
    is_suspect: bool,
) -> Result<Placement, NotStarted> {
    let mut full: Vec<(u32, EndpointId)> = Vec::new();
    for (position, &engine) in ranked.iter().take(MAX_CANDIDATES).enumerate() {
        let is_warm = request.hint.is_some_and(|hint| hint.engine == engine);
        let max_wait = if is_warm { WARM_ENGINE_WAIT } else { Duration::ZERO };
        match admit_within(node, engine, request, is_suspect, max_wait).await {
            AdmissionOutcome::Granted(permit) => {
                let permit = Some(permit);
                return Ok(Placement { engine, permit, reason: PlacementReason::Ranked(position) });
            }
            AdmissionOutcome::Full(load) => full.push((load, engine)),
            AdmissionOutcome::Refused(_) => {}
            AdmissionOutcome::Duplicate => {
                full = vec![(0, engine)];
                break;
            }
        }
    }
    full.sort_by_key(|(load, _)| *load);
    queue_at_least_loaded(node, request, &full, is_suspect).await
}

/// Queues the request at the engines in `full`, one after another in order of load,
/// until one admits it or its queue time is used up.
async fn queue_at_least_loaded(
    node: &Rc<Node>,
    request: &ClientRequest,
    full: &[(u32, EndpointId)],
    is_suspect: bool,
) -> Result<Placement, NotStarted> {
    let mut retry_ms = None;
    for &(_, engine) in full {
        let queue_ms = request.class.queue_ms.min(request.time_left(node.now()));
        match admit(node, engine, build_admission_request(node, request, is_suspect, queue_ms))
            .await
        {
            AdmissionOutcome::Granted(permit) => {
                let permit = Some(permit);
                return Ok(Placement { engine, permit, reason: PlacementReason::LeastLoaded });
            }
            AdmissionOutcome::Refused(ms) => retry_ms = Some(ms),
            AdmissionOutcome::Full(_) | AdmissionOutcome::Duplicate => {}
        }
        if node.now().since(request.arrived) >= request.class.queue_ms {
            break;
        }
    }
    Err(NotStarted { code: Code::Overloaded, retry_ms })
}

/// Requests admission and waits for at most `max_wait`.
async fn admit_within(
    node: &Rc<Node>,
    engine: EndpointId,
    request: &ClientRequest,
    is_suspect: bool,
    max_wait: Duration,
) -> AdmissionOutcome {
    let queue_ms = max_wait.as_millis() as u64;
    let admission_request = build_admission_request(node, request, is_suspect, queue_ms);
    if max_wait.is_zero() {
        return admit(node, engine, admission_request).await;
    }
    // On a timeout, dropping the future removes the request from the queue.
    time::timeout(max_wait, admit(node, engine, admission_request))
        .await
        .unwrap_or(AdmissionOutcome::Full(u32::MAX))
}

fn build_admission_request(
    node: &Node,
    request: &ClientRequest,
    is_suspect: bool,
    queue_ms: u64,
) -> AdmissionRequest {
    AdmissionRequest {
        id: AdmissionId::default(),
        workspace: request.workspace_hash(),
        share: request.share as f32,
        priority: request.class.priority,
        queue_ms: queue_ms as u32,
        grant_ttl_ms: request.time_left(node.now()) as u32,
        fingerprint: request.fingerprint as u32,
        suspect: is_suspect,
        observed_mean: mean_pool_load(node, hash32(request.model.as_bytes())) as f32,
    }
}

/// Logs the engine selected for a request and the reason.
pub(crate) fn log_route(
    node: &Node,
    request: &ClientRequest,
    engine: EndpointId,
    reason: &PlacementReason,
) {
    let waited = node.now().since(request.arrived);
    let state = node.state.borrow();
    let name = state.endpoints.get(engine).map_or("unknown", |it| &it.info.name);
    info!(
        "route: {} of {} chat {} class {} to {name}: {reason}, {waited} ms",
        request.run_id, request.workspace, request.chat, request.class_name
    );
}
