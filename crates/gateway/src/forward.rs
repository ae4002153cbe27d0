//! Hands requests over to another gateway, which reaches endpoints that this one does not.
//!
//! The other gateway serves the request as it would serve a client's, but never hands it on. If
//! it says that it reaches no endpoint either, the next one is asked. What this gateway has sent
//! for the request counts there too; see [`Handover`].

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use futures_util::stream::unfold;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::{
    Request, Response, Version,
    body::{Frame, Incoming},
    header::HeaderName,
    http::response,
};
use mimosaledge_core::hash::hash64;
use mimosaledge_net::server::{Aborted, ReplyBody};
use mimosaledge_policy::{EndpointGroup, sends::Sends};
use tokio::time::timeout;

use crate::{
    body_buffer::{self, MAX_RESPONSE_BYTES},
    gateway::Gateway,
    handover::Handover,
    headers::strip_hop_by_hop_headers,
    pool::{Connection, Pool, SendError},
    request_context::RequestContext,
};

/// Present in a response that rejects such a request because the other gateway reaches no
/// endpoint for it either.
pub(crate) const NO_ENDPOINT_HEADER: HeaderName = HeaderName::from_static("gateway-no-endpoint");
/// Minimum time before the deadline at which a request is handed over, in milliseconds.
const MIN_REMAINING_MS: u64 = 20;
/// Maximum number of gateways that a request is offered to.
const MAX_PEERS: usize = 4;
/// Time for which a gateway is not asked again after it could not be reached, or has reached no
/// endpoint either, in milliseconds; the next heartbeat tells more.
const PEER_PAUSE_MS: u64 = 500;

/// Why no other gateway has answered a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ForwardError {
    /// The other gateway cannot be reached, or not in time; the request did not run.
    NotRun,
    /// The other gateway reaches no endpoint either; the request did not run.
    NoEndpoint,
    /// The request may have run.
    Unknown,
    /// The request may have run; the response timed out.
    Timeout,
}

impl ForwardError {
    fn metric_label(self) -> &'static str {
        match self {
            ForwardError::NotRun => "not_run",
            ForwardError::NoEndpoint => "no_endpoint",
            ForwardError::Unknown => "unknown",
            ForwardError::Timeout => "timeout",
        }
    }
}

/// Returns whether a request should be handed over: this gateway reaches none of the
/// endpoints that may serve it, and another gateway may.
pub(crate) fn is_due(gateway: &Gateway, context: &RequestContext) -> bool {
    let group = context.group();
    !context.is_forwarded
        && context.remaining_ms(gateway.now()) >= MIN_REMAINING_MS
        && gateway.endpoint_table.borrow().reach_of(&group).is_cut_off()
        && !targets(gateway, &group).is_empty()
}

/// Returns the gateways that may serve requests for `group`.
fn targets(gateway: &Gateway, group: &EndpointGroup) -> Vec<Ipv4Addr> {
    let now = gateway.now();
    let table = gateway.forward_table.borrow();
    let peers = gateway.peers.borrow();
    peers.handover_targets(group, now).filter(|it| !table.is_paused(*it, group, now)).collect()
}

/// Hands a request over to another gateway and returns its response; gateways that reach no
/// endpoint for it are passed over.
///
/// # Errors
///
/// Returns an error that states whether the request may have run.
pub(crate) async fn run(
    gateway: &Rc<Gateway>,
    context: &Rc<RequestContext>,
    sends: &mut Sends,
) -> Result<Response<ReplyBody>, ForwardError> {
    let group = context.group();
    let mut peers = targets(gateway, &group);
    let hash = hash64(context.metadata.attempt_id.as_bytes());
    peers.sort_unstable_by_key(|it| hash64(&(hash ^ u64::from(it.to_bits())).to_le_bytes()));
    let mut last_error = ForwardError::NotRun;
    for peer in peers.into_iter().take(MAX_PEERS) {
        match send(gateway, context, *sends, peer).await {
            Ok(response) => {
                log_outcome(gateway, context, *sends, peer, response.status().as_str());
                log_response(gateway, context, peer, &response);
                return Ok(response);
            }
            Err(error) => {
                log_outcome(gateway, context, *sends, peer, error.metric_label());
                last_error = error;
            }
        }
        let group = match last_error {
            ForwardError::NotRun => None,
            ForwardError::NoEndpoint => Some(group.clone()),
            ForwardError::Unknown | ForwardError::Timeout => break,
        };
        let pause_end = gateway.now() + PEER_PAUSE_MS;
        gateway.forward_table.borrow_mut().pause(peer, group, pause_end);
        // The other gateway may have recorded it.
        sends.is_recorded = true;
    }
    Err(last_error)
}

fn log_outcome(
    gateway: &Gateway,
    context: &RequestContext,
    sends: Sends,
    peer: Ipv4Addr,
    outcome: &str,
) {
    gateway.metrics.forwards.with_label_values(&[outcome]).inc();
    spdlog::info!(
        "forward: id={} route={} peer={peer} outcome={outcome} sent={} ran={} elapsed_ms={}",
        context.metadata.attempt_id,
        context.route().name,
        sends.sent,
        sends.ran,
        gateway.now().since(context.arrived)
    );
}

/// Logs the end of the request as this gateway's client sees it; a stream that breaks later has
/// a line of its own.
fn log_response(
    gateway: &Gateway,
    context: &RequestContext,
    peer: Ipv4Addr,
    response: &Response<ReplyBody>,
) {
    spdlog::info!(
        "request: id={} route={} peer={peer} status={} elapsed_ms={}",
        context.metadata.attempt_id,
        context.route().name,
        response.status().as_u16(),
        gateway.now().since(context.arrived)
    );
}

/// Offers a request to one gateway.
async fn send(
    gateway: &Rc<Gateway>,
    context: &Rc<RequestContext>,
    sends: Sends,
    peer: Ipv4Addr,
) -> Result<Response<ReplyBody>, ForwardError> {
    let address = SocketAddrV4::new(peer, gateway.settings.listen.forward);
    let local = gateway.settings.address;
    let pool = gateway.forward_table.borrow_mut().pool(address, local, gateway.clock);
    let request = build_request(gateway, context, sends, peer);
    context.is_sent.set(true);
    let sent = timeout(remaining(gateway, context), pool.send(request)).await;
    let (response, connection) = match sent {
        Ok(Ok(sent)) => sent,
        Ok(Err(SendError::Unreachable | SendError::Expired)) => return Err(ForwardError::NotRun),
        Ok(Err(SendError::ConnectionLost { .. })) => return Err(ForwardError::Unknown),
        Err(_) => return Err(ForwardError::Timeout),
    };
    let (mut head, body) = response.into_parts();
    let is_rejected = head.headers.remove(NO_ENDPOINT_HEADER).is_some();
    strip_hop_by_hop_headers(&mut head.headers, &*gateway.dialect);
    let body = PeerBody { gateway: gateway.clone(), context: context.clone(), connection, body };
    if context.route().streaming && head.status.is_success() {
        return Ok(Response::from_parts(head, body.into_stream()));
    }
    let response = body.collect(head, &pool).await;
    if is_rejected { Err(ForwardError::NoEndpoint) } else { response }
}

fn build_request(
    gateway: &Gateway,
    context: &RequestContext,
    sends: Sends,
    peer: Ipv4Addr,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(context.body.bytes().clone()));
    *request.method_mut() = context.head.method.clone();
    *request.uri_mut() = context.head.uri.clone();
    *request.version_mut() = Version::HTTP_11;
    let mut headers = context.head.headers.clone();
    strip_hop_by_hop_headers(&mut headers, &*gateway.dialect);
    let deadline_ms = Some(context.remaining_ms(gateway.now()));
    let version = gateway.peers.borrow().version_of(peer);
    Handover { deadline_ms, sends, build: context.build }.insert_into(&mut headers, version);
    *request.headers_mut() = headers;
    request
}

fn remaining(gateway: &Gateway, context: &RequestContext) -> Duration {
    Duration::from_millis(context.remaining_ms(gateway.now()))
}

/// The body of another gateway's response; dropping it cancels the request there.
struct PeerBody {
    gateway: Rc<Gateway>,
    context: Rc<RequestContext>,
    connection: Connection,
    body: Incoming,
}

impl PeerBody {
    /// Forwards the body as it arrives, until the deadline.
    fn into_stream(self) -> ReplyBody {
        let frames = unfold(Some(self), |body| async {
            let mut body = body?;
            let wait = remaining(&body.gateway, &body.context);
            match timeout(wait, body.body.frame()).await {
                Ok(None) => None,
                Ok(Some(Ok(frame))) => {
                    let data = frame.into_data().unwrap_or_default();
                    Some((Ok(Frame::data(data)), Some(body)))
                }
                Ok(Some(Err(err))) => {
                    body.log_broken(&err.to_string());
                    Some((Err(Aborted), None))
                }
                Err(_) => {
                    body.log_broken("timed out");
                    Some((Err(Aborted), None))
                }
            }
        });
        Box::pin(StreamBody::new(frames))
    }

    /// Receives the whole body and returns the connection to the pool.
    async fn collect(
        self,
        head: response::Parts,
        pool: &Pool,
    ) -> Result<Response<ReplyBody>, ForwardError> {
        let wait = remaining(&self.gateway, &self.context);
        let grant = self.context.client.grant();
        let received = body_buffer::receive(self.body, MAX_RESPONSE_BYTES, grant, |_| {});
        match timeout(wait, received).await {
            Ok(Ok(body)) => {
                pool.release(self.connection);
                Ok(Response::from_parts(head, body.into_reply()))
            }
            Ok(Err(_)) => Err(ForwardError::Unknown),
            Err(_) => Err(ForwardError::Timeout),
        }
    }

    fn log_broken(&self, cause: &str) {
        spdlog::info!(
            "forward: id={} outcome=broken cause={cause:?} elapsed_ms={}",
            self.context.metadata.attempt_id,
            self.gateway.now().since(self.context.arrived)
        );
    }
}
