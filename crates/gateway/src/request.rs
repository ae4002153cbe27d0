//! One client's request, from its arrival to the head of its answer.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use hyper::{Request, Response, body::Incoming, header::HOST, http::request::Parts};
use mimosaledge_core::{
    Millis, Name,
    hash::{hash64, rendezvous_score},
};
use mimosaledge_net::server::{ReplyBody, read_body};
use mimosaledge_policy::{
    Route,
    config::{Admitted, Denial},
};
use tokio::time::timeout;

use crate::{
    answer::{Code, Refusal},
    attempts,
    dialect::{Ask, PromptPart},
    gateway::Gateway,
};

/// Wait for a client turned away while the gateway learns, in milliseconds.
const LEARNING_WAIT_MS: u64 = 300;

/// A request that has been let through.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) head: Parts,
    pub(crate) ask: Ask,
    pub(crate) body: Bytes,
    pub(crate) admitted: Admitted,
    pub(crate) service: Name,
    /// The cached prompt prefix that placement goes by.
    pub(crate) prefix: Option<u64>,
    /// Identifies equal requests of one caller.
    pub(crate) fingerprint: u64,
    pub(crate) arrived: Millis,
    /// When the client or the route's timeout gives the request up.
    pub(crate) ends: Millis,
}

impl Job {
    /// Returns the route.
    pub(crate) fn route(&self) -> &Route {
        &self.admitted.route
    }

    /// Returns the time left, in milliseconds.
    pub(crate) fn left_ms(&self, now: Millis) -> u64 {
        self.ends.since(now)
    }
}

/// Serves one request.
pub(crate) async fn serve(
    gateway: &Rc<Gateway>,
    incoming: Request<Incoming>,
) -> Response<ReplyBody> {
    let arrived = gateway.now();
    let (head, body) = incoming.into_parts();
    let ask = gateway.dialect.decode_request(&head);
    let attempt = ask.attempt.clone();
    let served = match accept(gateway, head, ask, body, arrived).await {
        Ok(job) => attempts::run(gateway, Rc::new(job)).await,
        Err(refusal) => Err(refusal),
    };
    let response = served.unwrap_or_else(|refusal| {
        spdlog::info!(
            "request: id={attempt} refused={:?} status={} retry_ms={:?} config={} elapsed_ms={}",
            refusal.code,
            refusal.status(),
            refusal.retry_ms,
            gateway.version(),
            gateway.now().since(arrived)
        );
        refusal.to_response(&*gateway.dialect, &attempt)
    });
    gateway.metrics.requests.with_label_values(&[response.status().as_str()]).inc();
    gateway.metrics.first_byte.observe(gateway.now().since(arrived) as f64 / 1_000.0);
    response
}

async fn accept(
    gateway: &Gateway,
    head: Parts,
    ask: Ask,
    body: Incoming,
    arrived: Millis,
) -> Result<Job, Refusal> {
    let admitted = admit(gateway, &head, &ask)?;
    let wait_ms = ask.deadline_ms.unwrap_or(u64::MAX).min(admitted.route.timeout_ms);
    let limit = gateway.routes.borrow().limits().max_body_bytes;
    let body = match timeout(Duration::from_millis(wait_ms), read_body(body, limit)).await {
        Ok(Ok(body)) => body,
        Ok(Err(err)) if err.kind() == std::io::ErrorKind::InvalidData => {
            return Err(Refusal::from_code(Code::TooLarge));
        }
        Ok(Err(_)) => return Err(Refusal::from_code(Code::BadRequest)),
        Err(_) => return Err(Refusal::from_code(Code::TooLate)),
    };
    let prefix = admitted.route.sticky.then(|| prefix_key(&ask.prompt)).flatten();
    let share = prefix.unwrap_or_else(|| hash64(ask.attempt.as_bytes()));
    // Mixed again, so that the split by weight is independent of placement.
    let share = rendezvous_score(share, 1, 1.0).to_bits();
    let Some(service) = admitted.route.select_service(share).cloned() else {
        return Err(Refusal::come_back(Code::NoEndpoint, LEARNING_WAIT_MS));
    };
    let fingerprint = fingerprint(&head, &ask, &body);
    let ends = arrived + wait_ms;
    Ok(Job { head, ask, body, admitted, service, prefix, fingerprint, arrived, ends })
}

fn admit(gateway: &Gateway, head: &Parts, ask: &Ask) -> Result<Admitted, Refusal> {
    if gateway.version() == 0 {
        return Err(Refusal::come_back(Code::NoConfig, LEARNING_WAIT_MS));
    }
    let host = head.headers.get(HOST).and_then(|it| it.to_str().ok());
    let host = host.or_else(|| head.uri.host()).unwrap_or_default();
    let routes = gateway.routes.borrow();
    routes.admit(host, head.uri.path(), ask.key.as_deref()).map_err(|denial| {
        if !gateway.is_config_fresh() {
            return Refusal::come_back(Code::StaleConfig, LEARNING_WAIT_MS);
        }
        match denial {
            Denial::NoRoute => Refusal::from_code(Code::NoRoute),
            Denial::NoWorkspace => Refusal::from_code(Code::NoWorkspace),
        }
    })
}

/// Returns the key of the longest prefix that other requests may share: all
/// parts but the last, which is the request's own.
fn prefix_key(prompt: &[PromptPart]) -> Option<u64> {
    let shared = match prompt.len() {
        0 => return None,
        1 => &prompt[0],
        count => &prompt[count - 2],
    };
    Some(hash64(&shared.id.to_le_bytes()))
}

fn fingerprint(head: &Parts, ask: &Ask, body: &[u8]) -> u64 {
    let key = ask.key.as_deref().unwrap_or_default();
    let path = head.uri.path_and_query().map_or("", |it| it.as_str());
    hash64(format!("{path}\n{key}\n{:016x}", hash64(body)).as_bytes())
}
