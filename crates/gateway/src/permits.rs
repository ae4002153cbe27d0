//! Keeps the rate limits that endpoints name, together with the other gateways.
//!
//! Before a gateway sends a request to an endpoint that limits its rate, it obtains a permit
//! from the gateway that issues them. Without a permit, or without a response, the request
//! goes to another endpoint.

use std::{net::Ipv4Addr, rc::Rc, time::Duration};

use mimosaledge_core::Millis;
use mimosaledge_policy::permits::{Claim, Decision};
use tokio::time::timeout;

use crate::{
    datagrams,
    endpoint_handle::EndpointHandle,
    gateway::Gateway,
    messages::{Message, PermitRequest},
    rate_limit::RateLimitSample,
    request_context::RequestContext,
};

/// Time to wait for the response to a request for a permit.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(50);
/// Time after which an issuer that has not responded is asked again, in milliseconds.
const UNANSWERED_RETRY_MS: u64 = 250;
/// Time after which a gateway that does not issue the permits is asked again, in milliseconds;
/// the gateways that disagree need it to hear of each other.
const WRONG_ISSUER_RETRY_MS: u64 = 250;

/// Obtains the permit for one request to `handle`; returns whether the request may be sent.
///
/// An endpoint that no permit could be obtained for is not open until the next one can be
/// expected.
pub(crate) async fn acquire(
    gateway: &Gateway,
    context: &RequestContext,
    handle: &EndpointHandle,
    claim: Claim,
) -> bool {
    let Some(rate) = handle.rate_limit() else { return true };
    let issuer = gateway.permit_table.borrow_mut().issuers.issuer(handle.node());
    let decision = if issuer == gateway.settings.address {
        decide(gateway, handle, claim, gateway.now())
    } else {
        ask(gateway, issuer, handle, claim).await
    };
    let Decision::Denied(retry_ms) = decision else {
        gateway.metrics.permits.with_label_values(&["issued"]).inc();
        return true;
    };
    gateway.metrics.permits.with_label_values(&["denied"]).inc();
    spdlog::info!(
        "permit: id={} endpoint={} denied=true claim={claim:?} rate_limit={rate} issuer={issuer} \
         retry_ms={retry_ms}",
        context.metadata.attempt_id,
        handle.id()
    );
    handle.deny_permits_until(claim, gateway.now() + retry_ms);
    false
}

/// Asks another gateway for a permit.
async fn ask(
    gateway: &Gateway,
    issuer: Ipv4Addr,
    handle: &EndpointHandle,
    claim: Claim,
) -> Decision {
    let limit = handle.to_limit_sample(gateway.now());
    let (number, response) = gateway.permit_table.borrow_mut().add_pending();
    let request = PermitRequest { number, endpoint: handle.node(), claim, limit };
    datagrams::send_now(gateway, &Message::PermitRequest(request), &[issuer]);
    let decision = timeout(RESPONSE_TIMEOUT, response).await;
    gateway.permit_table.borrow_mut().take_pending(number);
    match decision {
        Ok(Ok(decision)) => decision,
        Ok(Err(_)) | Err(_) => Decision::Denied(UNANSWERED_RETRY_MS),
    }
}

/// Decides on a request for a permit that another gateway has sent.
pub(crate) fn handle_request(gateway: &Gateway, from: Ipv4Addr, request: &PermitRequest) {
    let now = gateway.now();
    apply_samples(gateway, &[request.limit], now);
    let handle = gateway.endpoint_table.borrow().find(request.endpoint);
    let decision = match handle {
        Some(handle) => decide(gateway, &handle, request.claim, now),
        None => Decision::Denied(WRONG_ISSUER_RETRY_MS),
    };
    let retry_ms = match decision {
        Decision::Issued => None,
        Decision::Denied(retry_ms) => Some(retry_ms),
    };
    let response = Message::PermitResponse { number: request.number, retry_ms };
    datagrams::send_now(gateway, &response, &[from]);
}

/// Passes the response of an issuer on to the request that waits for it.
pub(crate) fn handle_response(gateway: &Gateway, number: u32, retry_ms: Option<u64>) {
    let Some(waiting) = gateway.permit_table.borrow_mut().take_pending(number) else { return };
    let decision = retry_ms.map_or(Decision::Issued, Decision::Denied);
    // The request may have been cancelled meanwhile; its permit then lapses.
    let _ = waiting.send(decision);
}

/// Issues a permit if this gateway is the one to issue it and the limit allows it.
fn decide(gateway: &Gateway, handle: &EndpointHandle, claim: Claim, now: Millis) -> Decision {
    let Some(rate) = handle.rate_limit() else { return Decision::Issued };
    let mut table = gateway.permit_table.borrow_mut();
    match table.issuers.own_start(handle.node()) {
        Some(from) => table.permits.request(handle.node(), rate.into(), claim, from, now),
        None => Decision::Denied(WRONG_ISSUER_RETRY_MS),
    }
}

/// Applies the rate limits that another gateway has observed.
pub(crate) fn apply_samples(gateway: &Gateway, samples: &[RateLimitSample], now: Millis) {
    let table = gateway.endpoint_table.borrow();
    for sample in samples {
        if let Some(handle) = table.find_short(sample.endpoint) {
            handle.observe_limit(sample.per_second, now - u64::from(sample.age_ms), now);
        }
    }
}

/// Records the rate limit that an endpoint named in a response to this gateway; tells the
/// other gateways at once if it has changed.
pub(crate) fn record_limit(gateway: &Gateway, handle: &EndpointHandle, per_second: Option<f64>) {
    let now = gateway.now();
    if !handle.observe_limit(per_second.map(|it| it as f32), now, now) {
        return;
    }
    let recipients = gateway.peers.borrow().urgent_recipients(now);
    let samples = vec![handle.to_limit_sample(now)];
    datagrams::send_now(gateway, &Message::RateLimits(samples), &recipients);
}

/// Sends the limits of all endpoints to a gateway that has become ready.
pub(crate) fn send_limits(gateway: &Gateway, to: Ipv4Addr) {
    let now = gateway.now();
    let table = gateway.endpoint_table.borrow();
    let limited = table.handles().filter(|it| it.rate_limit().is_some());
    let samples: Vec<RateLimitSample> = limited.map(|it| it.to_limit_sample(now)).collect();
    if !samples.is_empty() {
        datagrams::send_now(gateway, &Message::RateLimits(samples), &[to]);
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
    table.remove_abandoned();
    let endpoints = gateway.endpoint_table.borrow();
    table.issuers.retain(|node| endpoints.find(node).is_some_and(|it| it.rate_limit().is_some()));
}
