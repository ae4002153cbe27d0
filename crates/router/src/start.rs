//! Dispatch of a request to an engine: placement, admission and retries.

use std::{rc::Rc, time::Duration};

use mimosaledge_core::{Code, endpoints::EndpointId, quarantine::QuarantineStatus};
use tokio::time;

use crate::{
    node::Node,
    placement::{Placement, PlacementReason, log_route, place, rank},
    request::ClientRequest,
    run::{OpenError, Run},
};

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

/// Starts a request on the first engine that admits it.
///
/// `first_token` is the index of the first token to stream. When a stream is
/// resumed, `failed` is the engine whose response was interrupted there.
pub(crate) async fn start(
    node: &Rc<Node>,
    request: &Rc<ClientRequest>,
    first_token: u32,
    failed: Option<EndpointId>,
) -> Result<Run, NotStarted> {
    let mut tried: Vec<EndpointId> = failed.into_iter().collect();
    let mut last_error = NotStarted::from(Code::NoEndpoint);
    loop {
        let is_suspect = check_quarantine(node, request)?;
        let (mut ranked, uses_admission) = rank(node, request, is_suspect);
        retain_untried(&mut ranked, &tried, failed);
        if ranked.is_empty() {
            return Err(last_error);
        }
        let Placement { engine, permit, reason } = if uses_admission {
            place(node, request, &ranked, is_suspect).await?
        } else {
            Placement { engine: ranked[0], permit: None, reason: PlacementReason::Ranked(0) }
        };
        // A crash may have been reported during the wait for admission.
        check_quarantine(node, request)?;
        log_route(node, request, engine, &reason);
        match Run::open(node, request, engine, permit, first_token).await {
            Ok(run) => return Ok(run),
            Err(OpenError::NotRun) => last_error = last_error.after_refusal(),
            Err(OpenError::MayHaveRun { .. }) if !try_acquire_retry(node, request) => {
                return Err(Code::AnswerBroken.into());
            }
            Err(OpenError::MayHaveRun { crashed }) => {
                last_error = Code::AnswerBroken.into();
                if crashed {
                    time::sleep(SUSPECT_RETRY_DELAY).await;
                }
            }
        }
        tried.push(engine);
    }
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
