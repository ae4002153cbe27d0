//! Dispatch of a request to an engine: placement, admission and retries.

use std::{rc::Rc, time::Duration};

use mimosaledge_core::{Code, endpoints::EndpointId, quarantine::QuarantineStatus};
use tokio::time;

use crate::{
    attempt::Attempt,
    node::Node,
    placement::{Placement, PlacementReason, log_route, place, rank},
    request::ClientRequest,
    run::{OpenError, Run},
    silence::{Waited, wait},
};

/// A request that is sent to one engine.
pub(crate) type RunAttempt = Attempt<Run, OpenError>;

/// Delay before a request that was in flight at a crash is retried, so that all
/// routers learn of the first crash before the request could cause a third.
pub(crate) const SUSPECT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Why a request did not start on any engine.
pub(crate) struct NotStarted {
    /// Result code for the client.
    pub(crate) code: Code,
    /// Time after which the client may retry, in milliseconds.
    pub(crate) retry_ms: Option<u32>,
}

impl NotStarted {
    /// Returns the reason to report once a further engine has refused the request.
    ///
    /// A refusal does not replace the code for an earlier engine that may have run
    /// the request.
    fn after_refusal(self) -> NotStarted {
        match self.code {
            Code::AnswerBroken => self,
            _ => Code::EndpointRefused.into(),
        }
    }
}

impl From<Code> for NotStarted {
    fn from(code: Code) -> NotStarted {
        NotStarted { code, retry_ms: None }
    }
}

/// Starts a request on the first engine that admits it, or by `attempt` if that is
/// already in progress.
///
/// `first_token` is the index of the first token to stream. When a stream is
/// resumed, `failed` is the engine whose response was interrupted there.
pub(crate) async fn start(
    node: &Rc<Node>,
    request: &Rc<ClientRequest>,
    first_token: u32,
    failed: Option<EndpointId>,
    mut attempt: Option<RunAttempt>,
) -> Result<Run, NotStarted> {
    let mut tried: Vec<EndpointId> = failed.into_iter().collect();
    let mut last_error = NotStarted::from(Code::NoEndpoint);
    loop {
        let current = match attempt.take() {
            Some(current) => current,
            None => match select(node, request, &tried, failed).await? {
                Some(placement) => send(node, request, placement, first_token),
                None => return Err(last_error),
            },
        };
        tried.push(current.endpoint);
        let sent = tried.len();
        let search = async || start_replacement(node, request, first_token, &mut tried).await;
        let error = match wait(node, request, current.response, search).await {
            Waited::Received(Ok(run), _) | Waited::Replaced(run) => return Ok(run),
            Waited::Expired => return Err(Code::AnswerBroken.into()),
            Waited::Received(Err(error), replacement) => {
                attempt = replacement;
                error
            }
        };
        if tried.len() > sent {
            // A replacement may have run, whatever the silent engine has sent.
            last_error = Code::AnswerBroken.into();
        }
        match error {
            OpenError::NotRun => last_error = last_error.after_refusal(),
            OpenError::MayHaveRun { .. } if attempt.is_some() => {
                last_error = Code::AnswerBroken.into();
            }
            OpenError::MayHaveRun { .. } if !try_acquire_retry(node, request) => {
                return Err(Code::AnswerBroken.into());
            }
            OpenError::MayHaveRun { crashed } => {
                last_error = Code::AnswerBroken.into();
                if crashed {
                    time::sleep(SUSPECT_RETRY_DELAY).await;
                }
            }
        }
    }
}

/// Sends a request whose engine is silent to an engine that is not in `tried`, if
/// placement and the retry budget allow it.
pub(crate) async fn start_replacement(
    node: &Rc<Node>,
    request: &Rc<ClientRequest>,
    first_token: u32,
    tried: &mut Vec<EndpointId>,
) -> Option<RunAttempt> {
    let placement = select(node, request, tried, None).await.ok()??;
    if !try_acquire_retry(node, request) {
        return None;
    }
    tried.push(placement.engine);
    Some(send(node, request, placement, first_token))
}

/// Selects an engine that admits a request; returns `None` if all were tried.
async fn select(
    node: &Rc<Node>,
    request: &Rc<ClientRequest>,
    tried: &[EndpointId],
    failed: Option<EndpointId>,
) -> Result<Option<Placement>, NotStarted> {
    let is_suspect = check_quarantine(node, request)?;
    let (mut ranked, uses_admission) = rank(node, request, is_suspect);
    retain_untried(&mut ranked, tried, failed);
    if ranked.is_empty() {
        return Ok(None);
    }
    let placement = if uses_admission {
        place(node, request, &ranked, is_suspect).await?
    } else {
        Placement { engine: ranked[0], permit: None, reason: PlacementReason::Ranked(0) }
    };
    // A crash may have been reported during the wait for admission.
    check_quarantine(node, request)?;
    Ok(Some(placement))
}

/// Sends a request to the engine selected for it.
fn send(
    node: &Rc<Node>,
    request: &Rc<ClientRequest>,
    placement: Placement,
    first_token: u32,
) -> RunAttempt {
    let Placement { engine, permit, reason } = placement;
    log_route(node, request, engine, &reason);
    let (node, request) = (Rc::clone(node), Rc::clone(request));
    Attempt::new(
        engine,
        async move { Run::open(&node, &request, engine, permit, first_token).await },
    )
}

/// Removes the engines that were tried; `failed` is tried once more if it is the
/// only engine.
fn retain_untried(ranked: &mut Vec<EndpointId>, tried: &[EndpointId], failed: Option<EndpointId>) {
    let only_failed = tried.len() <= 1 && failed.is_some() && ranked.len() == 1;
    if !only_failed {
        ranked.retain(|it| !tried.contains(it));
    }
}

/// Returns whether a request is suspected of crashing engines, or an error if it
/// is quarantined.
fn check_quarantine(node: &Node, request: &ClientRequest) -> Result<bool, NotStarted> {
    match node.state.borrow().quarantine.status(request.fingerprint, node.now()) {
        QuarantineStatus::Clean => Ok(false),
        QuarantineStatus::Suspect => Ok(true),
        QuarantineStatus::Refused(wait) => {
            Err(NotStarted { code: Code::Quarantined, retry_ms: Some(wait as u32) })
        }
    }
}

/// Takes one retry from the workspace's budget if the request is idempotent;
/// returns whether it may be retried.
pub(crate) fn try_acquire_retry(node: &Node, request: &ClientRequest) -> bool {
    let allowed = request.class.idempotent
        && node.state.borrow_mut().retry_budget.try_acquire(&request.workspace);
    if allowed {
        node.metrics.retries.inc();
    }
    allowed
}
