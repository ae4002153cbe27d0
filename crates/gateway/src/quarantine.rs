//! Finds out which requests and prompt parts crash endpoints, and refuses them.

use std::{net::Ipv4Addr, rc::Rc, time::Duration};

use mimosaledge_core::{Millis, quarantine::QuarantineStatus};
use mimosaledge_peer::{CrashReport, Message, Refusal, SuspectReport, Version};
use mimosaledge_policy::{
    crashing_parts::{CrashStage, CrashSuspect, Culprit, MAX_RESPONDING_MS, MIN_GAP_MS},
    health::Outcome,
};
use tokio::{task::spawn_local, time::sleep};

use crate::{
    datagrams, endpoint_handle::EndpointHandle, gateway::Gateway, reach,
    request_context::RequestContext,
};

/// Delay between the loss of a connection and the connection attempt that shows
/// whether its endpoint crashed.
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(30);

/// Maximum number of requests and of parts that a gateway tells others it refuses.
const MAX_REFUSALS: usize = 64;

/// Checks, shortly after a connection was lost, whether its endpoint crashed: a
/// live endpoint accepts a new connection. A gateway that has lost its links to all endpoints
/// cannot tell, and concludes nothing.
///
/// After a crash, the request and the parts of its prompt become suspects, and the
/// crash is reported to other gateways. `received` is the time at which the head of
/// the response was received, if it was; an engine that crashes as it begins to write may
/// have sent a part of the head, or nothing.
pub(crate) fn check_for_crash(
    gateway: &Rc<Gateway>,
    context: &Rc<RequestContext>,
    handle: &Rc<EndpointHandle>,
    received: Option<Millis>,
) {
    let (gateway, handle, context) = (gateway.clone(), handle.clone(), context.clone());
    let lost = gateway.now();
    spawn_local(async move {
        sleep(CRASH_CHECK_DELAY).await;
        if handle.pool.try_connect().await {
            return;
        }
        let now = gateway.now();
        handle.record_outcome(&gateway.settings.policy, Outcome::Unreachable, now);
        if reach::is_cut_off(&gateway, &handle).await {
            log_cut(&context, &handle);
            return;
        }
        let responding_ms = received.map(|it| lost.since(it));
        log_crash(&context, &handle, responding_ms);
        record_request(&gateway, &context, &handle);
        if let Some(stage) = crash_stage(responding_ms) {
            let crashed = separate_crash(&context, lost);
            record_parts(&gateway, &context, &handle, stage, crashed);
        }
    });
}

/// Returns the time of a crash as it is recorded: a request that was sent again crashes the
/// next endpoint after the one before, not together with it.
fn separate_crash(context: &RequestContext, lost: Millis) -> Millis {
    let crashed = context.last_crash.get().map_or(lost, |it| lost.max(it + MIN_GAP_MS));
    context.last_crash.set(Some(crashed));
    crashed
}

/// Returns how far an endpoint was with a request when it crashed, or `None` if it had been
/// responding for so long that the parts of the prompt are sound.
fn crash_stage(responding_ms: Option<u64>) -> Option<CrashStage> {
    match responding_ms {
        None => Some(CrashStage::Waiting),
        Some(ms) if ms <= MAX_RESPONDING_MS => Some(CrashStage::Responding),
        Some(_) => None,
    }
}

/// Logs that a request was in flight at an endpoint when the links to all were lost.
fn log_cut(context: &RequestContext, handle: &EndpointHandle) {
    spdlog::info!(
        "crash: id={} endpoint={} cut_off=true",
        context.metadata.attempt_id,
        handle.id()
    );
}

/// Logs that a request was in flight at an endpoint that crashed; `responding_ms` is the
/// time for which the endpoint had been responding to it.
fn log_crash(context: &RequestContext, handle: &EndpointHandle, responding_ms: Option<u64>) {
    let parts: Vec<String> =
        context.metadata.prompt.iter().map(|it| format!("{:x}", it.id)).collect();
    spdlog::info!(
        "crash: id={} endpoint={} responding_ms={responding_ms:?} parts={}",
        context.metadata.attempt_id,
        handle.id(),
        parts.join(",")
    );
}

fn record_request(gateway: &Gateway, context: &RequestContext, handle: &EndpointHandle) {
    let (fingerprint, now) = (context.fingerprint, gateway.now());
    if gateway.quarantine.borrow_mut().record_crash(fingerprint, handle.node(), now) {
        spdlog::info!("crasher: fingerprint={fingerprint:016x} endpoint={}", handle.id());
        let crash = CrashReport { fingerprint, endpoint: handle.node() };
        gateway.peers.borrow_mut().report_crash(crash, now);
    }
}

/// Records the parts of a prompt as suspects, and tells all other gateways at once; the
/// next heartbeats repeat it.
fn record_parts(
    gateway: &Gateway,
    context: &RequestContext,
    handle: &EndpointHandle,
    stage: CrashStage,
    at: Millis,
) {
    let now = gateway.now();
    let mut reports = Vec::new();
    for (depth, part) in context.shared_parts.iter().enumerate() {
        let depth = u8::try_from(depth).unwrap_or(u8::MAX);
        let suspect = CrashSuspect { part: *part, depth, crash: handle.node() };
        if gateway.crashing_parts.borrow_mut().record_crash(suspect, stage, at) {
            gateway.peers.borrow_mut().crash_news.add_suspect(suspect, stage, at);
            reports.push(SuspectReport { suspect, age_ms: now.since(at) });
        }
    }
    if !reports.is_empty() {
        let recipients = gateway.peers.borrow().urgent_recipients(now);
        send_reports(gateway, stage, reports, &recipients);
    }
}

/// Sends reports of suspects to the gateways that know such reports.
fn send_reports(
    gateway: &Gateway,
    stage: CrashStage,
    reports: Vec<SuspectReport>,
    recipients: &[Ipv4Addr],
) {
    match stage {
        CrashStage::Responding => {
            datagrams::send_now(gateway, Message::Suspects(reports), recipients);
        }
        CrashStage::Waiting => {
            let recipients = gateway.peers.borrow().speaking(Version::ORIGIN_COPIES, recipients);
            datagrams::send_now(gateway, Message::WaitingSuspects(reports), &recipients);
        }
    }
}

/// Repeats the reports of waiting suspects with a heartbeat, since datagrams may be lost.
pub(crate) fn repeat_reports(gateway: &Gateway, recipients: &[Ipv4Addr]) {
    let now = gateway.now();
    let reports = gateway.peers.borrow().crash_news.suspects(CrashStage::Waiting, now);
    if !reports.is_empty() {
        send_reports(gateway, CrashStage::Waiting, reports, recipients);
    }
}

/// Tells a gateway that may know of no crashes what is refused.
pub(crate) fn send_refusals(gateway: &Gateway, to: Ipv4Addr) {
    let now = gateway.now();
    let requests = gateway.quarantine.borrow().refusals(now).into_iter();
    let requests = requests.map(|(key, retry_ms)| Refusal { key, retry_ms });
    let requests: Vec<Refusal> = requests.take(MAX_REFUSALS).collect();
    let parts = gateway.crashing_parts.borrow().refusals(now).into_iter();
    let parts = parts.map(|it| Refusal { key: it.part, retry_ms: it.retry_ms });
    let parts: Vec<Refusal> = parts.take(MAX_REFUSALS).collect();
    if requests.is_empty() && parts.is_empty() {
        return;
    }
    let to = gateway.peers.borrow().speaking(Version::ORIGIN_COPIES, &[to]);
    datagrams::send_now(gateway, Message::Refusals { requests, parts }, &to);
}

/// Refuses what another gateway refuses.
pub(crate) fn learn_refusals(
    gateway: &Gateway,
    from: Ipv4Addr,
    requests: &[Refusal],
    parts: &[Refusal],
) {
    let now = gateway.now();
    let mut quarantine = gateway.quarantine.borrow_mut();
    for Refusal { key, retry_ms } in requests {
        quarantine.learn_refusal(*key, *retry_ms, now);
    }
    let mut crashing_parts = gateway.crashing_parts.borrow_mut();
    for Refusal { key, retry_ms } in parts {
        crashing_parts.learn_refusal(Culprit { part: *key, retry_ms: *retry_ms }, now);
    }
    spdlog::info!(
        "quarantine: address={from} learned_requests={} learned_parts={}",
        requests.len(),
        parts.len()
    );
}

/// Applies what another gateway has reported.
pub(crate) fn apply_reports(
    gateway: &Gateway,
    suspects: &[SuspectReport],
    stage: CrashStage,
    sound_parts: &[u64],
    now: Millis,
) {
    let mut parts = gateway.crashing_parts.borrow_mut();
    for report in suspects {
        parts.record_crash(report.suspect, stage, now - report.age_ms);
    }
    if !sound_parts.is_empty() {
        parts.record_completion(sound_parts, now);
    }
}

/// Records that a request has completed, so that it is no suspect any more; if it has
/// succeeded, the parts of its prompt are sound as well.
pub(crate) fn clear(gateway: &Gateway, context: &RequestContext, succeeded: bool) {
    gateway.quarantine.borrow_mut().clear_suspect(context.fingerprint);
    if succeeded {
        record_sound_parts(gateway, context);
    }
}

/// Records that the parts of a prompt are sound, since an endpoint has responded for longer
/// than a crash takes.
pub(crate) fn record_sound_parts(gateway: &Gateway, context: &RequestContext) {
    let now = gateway.now();
    let cleared = gateway.crashing_parts.borrow_mut().record_completion(&context.shared_parts, now);
    if !cleared.is_empty() {
        gateway.peers.borrow_mut().crash_news.add_sound_parts(cleared, now);
    }
}

/// Returns the time until a request may be sent again, in milliseconds, if it or a part of
/// its prompt is refused.
pub(crate) fn find_refusal(gateway: &Gateway, context: &RequestContext) -> Option<u64> {
    if !gateway.settings.policy.quarantine {
        return None;
    }
    let now = gateway.now();
    let status = gateway.quarantine.borrow().status(context.fingerprint, now);
    if let QuarantineStatus::Refused(retry_ms) = status {
        return Some(retry_ms);
    }
    let culprit = gateway.crashing_parts.borrow().find_refused(&context.shared_parts, now)?;
    spdlog::info!(
        "quarantine: id={} part={:x} retry_ms={}",
        context.metadata.attempt_id,
        culprit.part,
        culprit.retry_ms
    );
    Some(culprit.retry_ms)
}
