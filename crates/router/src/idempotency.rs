//! Non-idempotent requests, which run at most once.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use hyper::Response;
use mimosaledge_core::{
    Code,
    endpoints::EndpointId,
    idempotency::{Answer, Key, KeyId, NoteReply, SealReply, Step},
    members::RouterRef,
};
use mimosaledge_net::server::{ReplyBody, reply};
use mimosaledge_wire::Message;
use spdlog::{info, warn};
use tokio::{sync::oneshot, time};

use crate::{
    forward, locate,
    node::Node,
    peer,
    pending::ReplyReceiver,
    request::ClientRequest,
    response::{ErrorResponse, error_response, set_header, stored_response},
    service::{self, ServiceError, ServiceResponse},
};

/// Wait for a witness's reply before the message is retransmitted.
const RETRANSMIT_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of times that a query is sent to a witness.
const MAX_SENDS: u32 = 5;
/// Maximum number of times that the outcome of a key is sent to its witness, until
/// the witness acknowledges it.
const MAX_FINISH_SENDS: u32 = 10;
/// Maximum size of a response body that is sent to a witness, in bytes; it must fit
/// into a datagram.
const MAX_HANDOVER_BYTES: usize = 1_024;
/// Time after the deadline for which a run continues, so that its response can be
/// stored for a repeated request.
const DEADLINE_EXTENSION: Duration = Duration::from_secs(60);

/// Handles a non-idempotent request.
pub(crate) async fn handle(node: &Rc<Node>, request: &Rc<ClientRequest>) -> Response<ReplyBody> {
    let text = request.key.as_deref().unwrap_or("");
    let Ok(key) = Key::parse(&request.workspace, text) else {
        return error_with_prefix(node, Code::UnusableKey);
    };
    if key.prefix.home == node.own {
        return handle_as_home(node, request, key).await;
    }
    let home = node.state.borrow().members.find_run(key.prefix.home);
    let home = home.filter(|_| !request.forwarded);
    if let Some(home) = home
        && let Some(response) = forward::forward_to_home(node, request, home).await
    {
        return response;
    }
    handle_without_home(node, request, &key).await
}

/// Returns an error response with a prefix for a new key.
fn error_with_prefix(node: &Node, code: Code) -> Response<ReplyBody> {
    ErrorResponse::new(node, code).key_prefix(locate::issue_prefix(node)).into_response(code)
}

/// Handles a request whose key names this router as home.
async fn handle_as_home(
    node: &Rc<Node>,
    request: &Rc<ClientRequest>,
    key: Key,
) -> Response<ReplyBody> {
    let step = node.state.borrow_mut().key_home.begin(&key, request.fingerprint);
    let step = match step {
        Step::Note(witness) => {
            let reply = request_note(node, &key, witness).await;
            node.state.borrow_mut().key_home.handle_note_reply(key.id, reply, node.now())
        }
        step => step,
    };
    match step {
        Step::Start => run(node, request, key).await,
        Step::ReturnStored(answer) => stored_response(node, &answer),
        Step::Wait(ms) => {
            let response = ErrorResponse::new(node, Code::StillRunning).retry_after(ms);
            response.into_response(Code::StillRunning)
        }
        Step::Refuse(code) => error_with_prefix(node, code),
        // The witness was already queried above, and is queried only once.
        Step::Note(_) => error_response(node, Code::WitnessSilent),
    }
}

/// Asks a witness to note that the home is about to run a key; returns `None` if it
/// does not reply.
async fn request_note(node: &Node, key: &Key, witness: RouterRef) -> Option<NoteReply> {
    let query = Message::Note { key: key.id, prefix: key.prefix };
    query_witness(node, witness, node.note_replies.register(key.id), &query).await
}

/// Sends a query to a witness until it replies; returns `None` if it does not.
async fn query_witness<V>(
    node: &Node,
    witness: RouterRef,
    mut replies: ReplyReceiver<KeyId, V>,
    query: &Message,
) -> Option<V> {
    let addr = peer_address(node, witness)?;
    for _ in 0..MAX_SENDS {
        peer::send(node, addr, query);
        if let Ok(reply) = time::timeout(RETRANSMIT_INTERVAL, replies.next()).await {
            return reply;
        }
    }
    None
}

fn peer_address(node: &Node, router: RouterRef) -> Option<SocketAddr> {
    node.state.borrow().members.get(router.id).map(|it| it.heartbeat.peer)
}

/// Runs a request whose key may start.
///
/// The run continues after the client has disconnected or the deadline has passed,
/// so that the response can be stored.
async fn run(node: &Rc<Node>, request: &Rc<ClientRequest>, key: Key) -> Response<ReplyBody> {
    let (sender, receiver) = oneshot::channel();
    let captured = (Rc::clone(node), Rc::clone(request), key);
    tokio::task::spawn_local(async move {
        let (node, request, key) = captured;
        let response = call_services(&node, &request, &key).await;
        // The receiver is gone if the client has disconnected.
        let _ = sender.send(response);
    });
    let timeout = Duration::from_millis(request.time_left(node.now()));
    match time::timeout(timeout, receiver).await {
        Ok(Ok(response)) => response,
        _ => error_response(node, Code::DeadlinePassed),
    }
}

/// Calls the ranked services in order until one has run the request or may have
/// done so.
async fn call_services(node: &Rc<Node>, request: &ClientRequest, key: &Key) -> Response<ReplyBody> {
    let mut code = Code::NoEndpoint;
    for service in service::rank(node, request) {
        // A router that was paused must not run a request whose client has
        // already given up.
        if request.time_left(node.now()) == 0 {
            code = Code::KeySealed;
            break;
        }
        service::log_route(node, request, service);
        match call_on_new_connection(node, request, service).await {
            Ok(response) => return record_answer(node, key, response),
            Err(ServiceError::NotRun) => code = Code::EndpointRefused,
            Err(ServiceError::MayHaveRun) => {
                warn!("once: outcome of {} is unknown", request.run_id);
                node.state.borrow_mut().key_home.mark_broken(key.id, node.now());
                return error_response(node, Code::OutcomeUnknown);
            }
        }
    }
    info!("once: {} did not run: {code}", request.run_id);
    node.state.borrow_mut().key_home.mark_refused(key.id, code, node.now());
    hand_over(node, key, None);
    error_with_prefix(node, code)
}

/// Calls a service over a new connection, so that a failure to connect proves
/// that the request did not run.
async fn call_on_new_connection(
    node: &Rc<Node>,
    request: &ClientRequest,
    service: EndpointId,
) -> Result<ServiceResponse, ServiceError> {
    let addr = service::address(node, service).ok_or(ServiceError::NotRun)?;
    let connection = node.upstream.connect(addr).await;
    let connection =
        connection.map_err(|err| service::record_connect_failure(node, service, err))?;
    let timeout = Duration::from_millis(request.time_left(node.now())) + DEADLINE_EXTENSION;
    service::call(request, connection, timeout).await
}

/// Stores the response of a run and returns it to the client.
///
/// Only the status of a response larger than `kept_answer` is stored.
fn record_answer(node: &Rc<Node>, key: &Key, response: ServiceResponse) -> Response<ReplyBody> {
    let is_kept = response.body.len() <= node.settings.limits.kept_answer;
    let body = is_kept.then(|| response.body.to_vec());
    let stored = Rc::new(Answer { status: response.status, body });
    node.state.borrow_mut().key_home.mark_finished(key.id, Rc::clone(&stored), node.now());
    let fits = stored.body.as_ref().is_some_and(|body| body.len() <= MAX_HANDOVER_BYTES);
    let body = stored.body.clone().filter(|_| fits);
    hand_over(node, key, Some(Answer { status: stored.status, body }));
    reply(response.status, response.body)
}

/// Sends the outcome of a closed key to its witness, so that it survives a crash
/// of the home.
fn hand_over(node: &Rc<Node>, key: &Key, answer: Option<Answer>) {
    let Some(witness) = key.prefix.witness else { return };
    let Some(addr) = peer_address(node, witness) else { return };
    let (node, key) = (Rc::clone(node), key.id);
    tokio::task::spawn_local(async move {
        let mut acks = node.finish_acks.register(key);
        for _ in 0..MAX_FINISH_SENDS {
            peer::send(&node, addr, &Message::Finish { key, answer: answer.clone() });
            if time::timeout(RETRANSMIT_INTERVAL, acks.next()).await.is_ok() {
                return;
            }
        }
    });
}

/// Handles a request whose home cannot be reached, by asking the witness whether
/// the key may have started.
async fn handle_without_home(
    node: &Rc<Node>,
    request: &ClientRequest,
    key: &Key,
) -> Response<ReplyBody> {
    let reply = match key.prefix.witness {
        Some(witness) if witness == node.own => {
            Some(node.state.borrow_mut().key_witness.seal(key.id, key.prefix, node.now()))
        }
        Some(witness) => request_seal(node, key, witness).await,
        None => None,
    };
    info!("once: home of {} is unreachable; witness: {}", request.run_id, describe_reply(&reply));
    match reply {
        Some(SealReply::Sealed) => error_with_prefix(node, Code::KeySealed),
        Some(SealReply::Done(answer)) => {
            let mut response = stored_response(node, &Rc::new(answer));
            set_header(&mut response, "x-kept-by", "witness");
            response
        }
        Some(SealReply::Noted | SealReply::Forgotten) | None => {
            error_response(node, Code::OutcomeUnknown)
        }
    }
}

fn describe_reply(reply: &Option<SealReply>) -> &'static str {
    match reply {
        Some(SealReply::Sealed) => "not started, now sealed",
        Some(SealReply::Noted) => "may have started",
        Some(SealReply::Done(_)) => "ran",
        Some(SealReply::Forgotten) => "forgotten",
        None => "no reply",
    }
}

/// Asks a witness to seal a key; returns `None` if it does not reply.
async fn request_seal(node: &Node, key: &Key, witness: RouterRef) -> Option<SealReply> {
    let query = Message::Seal { key: key.id, prefix: key.prefix };
    query_witness(node, witness, node.seal_replies.register(key.id), &query).await
}

/// Returns whether the outcome of any key is still being sent to its witness.
pub(crate) fn has_pending_handovers(node: &Node) -> bool {
    node.finish_acks.len() > 0
}
