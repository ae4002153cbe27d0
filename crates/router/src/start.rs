//! Starting a request on an engine: placement, admission and retries.

use std::{rc::Rc, time::Duration};

use mimosaledge_core::{Code, endpoints::EndpointId, quarantine::QuarantineStatus};
use tokio::time;

use crate::{
    node::Node,
    placement::{Placement, PlacementReason, log_route, place, rank},
    request::CallerRequest,
    run::{OpenError, Run},
};

/// Pause before a suspect runs again, so that routers learn of its first
/// crash before they could help it to a third.
pub(crate) const SUSPECT_PAUSE: Duration = Duration::from_millis(50);

/// Why a request was not started.
pub(crate) struct NotStarted {
    /// The code with which to refuse it.
    pub(crate) code: Code,
    /// When to come back, in milliseconds.
    pub(crate) retry_ms: Option<u32>,
}

impl NotStarted {
    /// Notes that an engine refused the request; that does not undo an earlier
    /// engine that may have run it.
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

/// Starts a request on the first engine that lets it in.
///
/// `failed` is the engine that broke the request's answer at piece `from`.
pub(crate) async fn start(
    node: &Rc<Node>,
    ask: &Rc<CallerRequest>,
    from: u32,
    failed: Option<EndpointId>,
) -> Result<Run, NotStarted> {
    let mut tried: Vec<EndpointId> = failed.into_iter().collect();
    let mut last = NotStarted::from(Code::NoEndpoint);
    loop {
        let is_suspect = check_standing(node, ask)?;
        let (mut ranked, uses_gates) = rank(node, ask, is_suspect);
        retain_untried(&mut ranked, &tried, failed);
        if ranked.is_empty() {
            return Err(last);
        }
        let Placement { engine, admission, reason } = if uses_gates {
            place(node, ask, &ranked, is_suspect).await?
        } else {
            Placement { engine: ranked[0], admission: None, reason: PlacementReason::Ranked(0) }
        };
        // The wait for admission may have brought news of a death.
        check_standing(node, ask)?;
        log_route(node, ask, engine, &reason);
        match Run::open(node, ask, engine, admission, from).await {
            Ok(run) => return Ok(run),
            Err(OpenError::NotRun) => last = last.after_refusal(),
            Err(OpenError::Broken { .. }) if !may_retry(node, ask) => {
                return Err(Code::AnswerBroken.into());
            }
            Err(OpenError::Broken { died }) => {
                last = Code::AnswerBroken.into();
                if died {
                    time::sleep(SUSPECT_PAUSE).await;
                }
            }
        }
        tried.push(engine);
    }
}

/// Removes the engines that were tried; the one that failed first is tried
/// again if no other is left.
fn retain_untried(ranked: &mut Vec<EndpointId>, tried: &[EndpointId], failed: Option<EndpointId>) {
    let only_failed = tried.len() <= 1 && failed.is_some() && ranked.len() == 1;
    if !only_failed {
        ranked.retain(|it| !tried.contains(it));
    }
}

/// Refuses a request that is quarantined; returns whether it is a suspect.
fn check_standing(node: &Node, ask: &CallerRequest) -> Result<bool, NotStarted> {
    match node.cores.borrow().quarantine.status(ask.fingerprint, node.now()) {
        QuarantineStatus::Clean => Ok(false),
        QuarantineStatus::Suspect => Ok(true),
        QuarantineStatus::Refused(wait) => {
            Err(NotStarted { code: Code::Quarantined, retry_ms: Some(wait as u32) })
        }
    }
}

/// Takes one retry from the workspace's budget if the request is idempotent;
/// returns whether it may be tried again.
pub(crate) fn may_retry(node: &Node, ask: &CallerRequest) -> bool {
    let allowed =
        ask.class.idempotent && node.cores.borrow_mut().budget.try_acquire(&ask.workspace);
    if allowed {
        node.metrics.retries.inc();
    }
    allowed
}
