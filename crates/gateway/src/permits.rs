//! Keeps the limits that endpoints name, together with the other gateways.
//!
//! Before a gateway sends a request to an endpoint that limits its rate or is brittle, it obtains
//! a permit from the gateway that issues them. Without a permit, or without a response, the request
//! goes to another endpoint.

use std::{net::Ipv4Addr, rc::Rc, time::Duration};

use mimosaledge_core::Millis;
use mimosaledge_peer::{EndpointLimits, LimitSample, Message, PermitRequest, Version};
use mimosaledge_policy::{
    concurrency::Holder,
    permits::{Claim, Decision},
    slow_start,
};
use tokio::time::timeout;

use crate::{
    datagrams, dialect::ResponseMetadata, endpoint_handle::EndpointHandle, gateway::Gateway,
    permit::Permit, request_context::RequestContext, warmup,
};

/// Time to wait for the response to a request for a permit.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(50);
/// Time after which an issuer that has not responded is asked again, in milliseconds.
const UNANSWERED_RETRY_MS: u64 = 250;
/// Time after which a gateway that does not issue the permits is asked again, in milliseconds;
/// the gateways that disagree need it to hear of each other.
const WRONG_ISSUER_RETRY_MS: u64 = 250;
/// Longest time after which an issuer that hears too few gateways is asked again, in milliseconds.
const TOO_FEW_HEARD_RETRY_MS: u64 = 1_000;

/// Obtains the permit for one request to `handle`, if the endpoint accepts it.
///
/// An endpoint that no permit could be obtained for is not open until the next one can be
/// expected.
pub(crate) async fn acquire(
    gateway: &Rc<Gateway>,
    context: &RequestContext,
    handle: &EndpointHandle,
    claim: Claim,
) -> Option<Permit> {
    let limits = handle.limits();
    if !limits.needs_permit() {
        return Some(Permit::free());
    }
    let ttl_ms = context.remaining_ms(gateway.now());
    let issuer = gateway.permit_table.borrow_mut().issuers.issuer(handle.node());
    let own_address = gateway.settings.address;
    let (number, decision) = if issuer == own_address {
        let number = gateway.permit_table.borrow_mut().next_number();
        let holder = (own_address, number);
        (number, decide(gateway, handle, claim, holder, ttl_ms))
    } else {
        ask(gateway, issuer, handle, claim, ttl_ms).await
    };
    let Decision::Denied(retry_ms) = decision else {
        gateway.metrics.permits.with_label_values(&["issued"]).inc();
        let is_returned = limits.max_refusals.is_some();
        let issued = || Permit::issued(gateway, issuer, number, handle.node());
        return Some(if is_returned { issued() } else { Permit::for_once(gateway.now()) });
    };
    gateway.metrics.permits.with_label_values(&["denied"]).inc();
    if handle.is_cold() {
        gateway.metrics.cold_denials.inc();
    }
    spdlog::info!(
        "permit: id={} endpoint={} denied=true claim={claim:?} rate_limit={:?} max_refusals={:?} \
         cold_ms={} issuer={issuer} retry_ms={retry_ms}",
        context.metadata.attempt_id,
        handle.id(),
        limits.rate,
        limits.max_refusals,
        handle.warmup().left_ms(handle.now())
    );
    handle.deny_permits_until(claim, gateway.now() + retry_ms);
    None
}

/// Asks another gateway for a permit; returns its number and the decision.
async fn ask(
    gateway: &Gateway,
    issuer: Ipv4Addr,
    handle: &EndpointHandle,
    claim: Claim,
    ttl_ms: u64,
) -> (u32, Decision) {
    let knows_cold = gateway.peers.borrow().version_of(issuer) >= Version::EXTENSIONS;
    if handle.is_cold() && !knows_cold {
        // It would issue any number of permits.
        return (0, Decision::Denied(WRONG_ISSUER_RETRY_MS));
    }
    let now = gateway.now();
    let limits = handle.to_limit_sample(now);
    let warmup_ms = u32::try_from(handle.warmup().left_ms(now)).unwrap_or(u32::MAX);
    let (number, response) = gateway.permit_table.borrow_mut().add_pending();
    let request =
        PermitRequest { number, endpoint: handle.node(), claim, ttl_ms, limits, warmup_ms };
    datagrams::send_now(gateway, Message::PermitRequest(request), &[issuer]);
    let decision = timeout(RESPONSE_TIMEOUT, response).await;
    gateway.permit_table.borrow_mut().take_pending(number);
    match decision {
        Ok(Ok(decision)) => (number, decision),
        Ok(Err(_)) | Err(_) => (number, Decision::Denied(UNANSWERED_RETRY_MS)),
    }
}

/// Decides on a request for a permit that another gateway has sent.
pub(crate) fn handle_request(gateway: &Gateway, from: Ipv4Addr, request: &PermitRequest) {
    apply_samples(gateway, &[request.limits], gateway.now());
    let handle = gateway.endpoint_table.borrow().find(request.endpoint);
    if let Some(handle) = handle.as_ref().filter(|_| request.warmup_ms > 0) {
        warmup::apply_sample(handle, request.warmup_ms);
    }
    let holder = (from, request.number);
    let decision = match handle {
        // This gateway does not know yet how the endpoints of the service start.
        Some(handle) if request.warmup_ms > 0 && !handle.is_cold() => {
            Decision::Denied(WRONG_ISSUER_RETRY_MS)
        }
        Some(handle) => decide(gateway, &handle, request.claim, holder, request.ttl_ms),
        None => Decision::Denied(WRONG_ISSUER_RETRY_MS),
    };
    let retry_ms = match decision {
        Decision::Issued => None,
        Decision::Denied(retry_ms) => Some(retry_ms),
    };
    let PermitRequest { number, endpoint, .. } = *request;
    let response = Message::PermitResponse { number, endpoint, retry_ms };
    datagrams::send_now(gateway, response, &[from]);
}

/// Takes a permit back that another gateway returns.
pub(crate) fn handle_release(
    gateway: &Gateway,
    from: Ipv4Addr,
    number: u32,
    endpoint: u64,
    refused: bool,
) {
    let mut table = gateway.permit_table.borrow_mut();
    table.concurrency.release(endpoint, (from, number), refused, gateway.now());
}

/// Passes the response of an issuer on to the request that waits for it; a permit that no
/// request waits for any more is returned.
pub(crate) fn handle_response(
    gateway: &Gateway,
    from: Ipv4Addr,
    number: u32,
    endpoint: u64,
    retry_ms: Option<u64>,
) {
    let decision = retry_ms.map_or(Decision::Issued, Decision::Denied);
    let waiting = gateway.permit_table.borrow_mut().take_pending(number);
    let is_taken = waiting.is_some_and(|it| it.send(decision).is_ok());
    if !is_taken && decision == Decision::Issued {
        let release = Message::PermitRelease { number, endpoint, refused: false };
        datagrams::send_now(gateway, release, &[from]);
    }
}

/// Issues a permit if this gateway is the one to issue it and the limits allow it.
fn decide(
    gateway: &Gateway,
    handle: &EndpointHandle,
    claim: Claim,
    holder: Holder,
    ttl_ms: u64,
) -> Decision {
    if !handle.limits().needs_permit() {
        return Decision::Issued;
    }
    let (node, now) = (handle.node(), gateway.now());
    if gateway.is_stalled() {
        return Decision::Denied(WRONG_ISSUER_RETRY_MS);
    }
    let mut table = gateway.permit_table.borrow_mut();
    let Some(from) = table.issuers.own_start(node) else {
        return Decision::Denied(WRONG_ISSUER_RETRY_MS);
    };
    if let Some(capacity) = handle.capacity() {
        let decision = table.concurrency.request(node, capacity, holder, ttl_ms, from, now);
        if decision != Decision::Issued {
            return decision;
        }
    }
    let rate = match issued_rate(gateway, handle, now) {
        Ok(Some(rate)) => rate,
        Ok(None) => return Decision::Issued,
        Err(denied) => {
            table.concurrency.release(node, holder, false, now);
            return denied;
        }
    };
    let from = if handle.is_cold() { from.max(handle.warmup().cold_from()) } else { from };
    let decision = table.permits.request(node, rate, claim, from, now);
    if decision != Decision::Issued {
        table.concurrency.release(node, holder, false, now);
    }
    decision
}

/// Returns the rate at which this gateway issues the permits of an endpoint, per second: what it
/// has named, and less while it is cold.
///
/// # Errors
///
/// Returns a denial if this gateway hears too few others to issue permits of a cold endpoint.
fn issued_rate(
    gateway: &Gateway,
    handle: &EndpointHandle,
    now: Millis,
) -> Result<Option<f64>, Decision> {
    let named = handle.named_limits().rate.map(f64::from);
    let Some(cold) = handle.warmup().rate(now) else { return Ok(named) };
    let (alive, known) = (gateway.count_gateways(), gateway.count_budget_shares());
    let issued = slow_start::permit_rate(cold, alive, known)
        .ok_or(Decision::Denied(handle.warmup().left_ms(now).min(TOO_FEW_HEARD_RETRY_MS)))?;
    Ok(Some(named.map_or(issued, |it| it.min(issued))))
}

/// Applies the limits that another gateway has observed.
pub(crate) fn apply_samples(gateway: &Gateway, samples: &[LimitSample], now: Millis) {
    let table = gateway.endpoint_table.borrow();
    for sample in samples {
        if let Some(handle) = table.find_short(sample.endpoint) {
            handle.observe_limits(sample.limits, now - u64::from(sample.age_ms), now);
        }
    }
}

/// Records the limits that an endpoint named in a response to this gateway; tells the other
/// gateways at once if they have changed.
pub(crate) fn record_limits(
    gateway: &Gateway,
    handle: &EndpointHandle,
    metadata: &ResponseMetadata,
) {
    let now = gateway.now();
    let rate = metadata.rate_limit.map(|it| it as f32);
    let limits = EndpointLimits { rate, max_refusals: metadata.max_refusals };
    if !handle.observe_limits(limits, now, now) {
        return;
    }
    let recipients = gateway.peers.borrow().urgent_recipients(now);
    let samples = vec![handle.to_limit_sample(now)];
    datagrams::send_now(gateway, Message::Limits(samples), &recipients);
}

/// Sends the limits of all endpoints to a gateway that has become ready.
pub(crate) fn send_limits(gateway: &Gateway, to: Ipv4Addr) {
    let now = gateway.now();
    let table = gateway.endpoint_table.borrow();
    let limited = table.handles().filter(|it| it.named_limits().needs_permit());
    let samples: Vec<LimitSample> = limited.map(|it| it.to_limit_sample(now)).collect();
    if !samples.is_empty() {
        datagrams::send_now(gateway, Message::Limits(samples), &[to]);
    }
}

/// Updates the view of the issuers to the gateways that are ready, and drops what is no
/// longer needed.
pub(crate) fn run_maintenance(gateway: &Rc<Gateway>) {
    let now = gateway.now();
    let peers = gateway.peers.borrow();
    let mut gateways = peers.possible_issuers(now);
    if gateway.is_ready() {
        gateways.push(gateway.settings.address);
    }
    let own_address = gateway.settings.address;
    let has_resigned = |it| it == own_address || peers.is_unready(it, now);
    let mut table = gateway.permit_table.borrow_mut();
    table.issuers.update(gateways, has_resigned, now);
    table.permits.remove_unused(now);
    table.concurrency.remove_unused(now);
    table.remove_abandoned();
    let endpoints = gateway.endpoint_table.borrow();
    table.issuers.retain(|node| endpoints.find(node).is_some_and(|it| it.limits().needs_permit()));
}
