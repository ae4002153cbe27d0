//! Takes the retries of requests from the retry budget, and logs each decision.

use mimosaledge_policy::{retry_budget::BudgetState, sends::SendGrant};

use crate::{gateway::Gateway, request_context::RequestContext, retry_state::RetryState};

/// Records a request in the budget of its service, unless a gateway has done so before.
pub(crate) fn record_request(
    gateway: &Gateway,
    context: &RequestContext,
    retry_state: &mut RetryState,
) {
    let mut budget = gateway.retry_budget.borrow_mut();
    budget.record_request(&context.service, &mut retry_state.sends, gateway.now());
}

/// Asks for a request to be sent to an endpoint, for the first time or once more.
pub(crate) fn admit(
    gateway: &Gateway,
    context: &RequestContext,
    retry_state: &mut RetryState,
) -> Option<SendGrant> {
    let (gateways, now) = (gateway.count_budget_shares(), gateway.now());
    let mut budget = gateway.retry_budget.borrow_mut();
    let is_charged = retry_state.sends.is_charged();
    let before = is_charged.then(|| budget.state(&context.service, gateways, now));
    let grant = budget.admit(&context.service, &mut retry_state.sends, gateways, now);
    if retry_state.sends.sent > 1 && grant.is_some() {
        gateway.metrics.retries.inc();
    }
    if let Some(before) = before {
        log_decision(gateway, context, before, grant.is_some());
    }
    grant
}

/// Takes the retry that another gateway is going to make from the budget of this one, which
/// has recorded the request, if it is allowed here.
pub(crate) fn prepay(gateway: &Gateway, context: &RequestContext, retry_state: &mut RetryState) {
    if !retry_state.sends.is_charged() {
        return;
    }
    let (gateways, now) = (gateway.count_budget_shares(), gateway.now());
    let mut budget = gateway.retry_budget.borrow_mut();
    let before = budget.state(&context.service, gateways, now);
    budget.prepay(&context.service, &mut retry_state.sends, gateways, now);
    log_decision(gateway, context, before, retry_state.sends.is_prepaid);
}

fn log_decision(
    gateway: &Gateway,
    context: &RequestContext,
    before: BudgetState,
    is_allowed: bool,
) {
    spdlog::info!(
        "budget: id={} service={} allowed={is_allowed} retries={} limit={:.1} requests={} \
         gateways={}",
        context.metadata.attempt_id,
        context.service,
        before.retries,
        before.allowed,
        before.requests,
        gateway.count_budget_shares()
    );
}
