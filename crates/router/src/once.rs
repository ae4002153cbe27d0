//! Non-idempotent requests, run at most once.

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
    answer::{Refusal, kept, refuse, set_header},
    forward, locate,
    node::Node,
    peer,
    pending::Awaited,
    request::Ask,
    service::{self, ServiceAnswer, ServiceError},
};

/// Wait for a witness's answer before the question is repeated.
const REPEAT: Duration = Duration::from_millis(20);
/// Questions that a witness may leave unanswered.
const TRIES: u32 = 5;
/// Times that a finished key is handed over to its witness.
const FINISH_TRIES: u32 = 10;
/// Longest answer handed over to a witness, in bytes; it must fit a datagram.
const HANDOVER_BYTES: usize = 1_024;
/// How long a run goes on after its deadline, so that its answer can be kept.
const AFTER_DEADLINE: Duration = Duration::from_secs(60);

/// Answers a non-idempotent request.
pub(crate) async fn answer(node: &Rc<Node>, ask: &Rc<Ask>) -> Response<ReplyBody> {
    let text = ask.key.as_deref().unwrap_or("");
    let Ok(key) = Key::parse(&ask.workspace, text) else {
        return refuse_with_prefix(node, Code::UnusableKey);
    };
    if key.prefix.home == node.own {
        return answer_as_home(node, ask, key).await;
    }
    let home = node.cores.borrow().members.find_run(key.prefix.home);
    let home = home.filter(|_| !ask.forwarded);
    if let Some(home) = home
        && let Some(response) = forward::pass_on(node, ask, home).await
    {
        return response;
    }
    judge_without_home(node, ask, &key).await
}

/// Refuses a request and gives out a prefix for a new key.
fn refuse_with_prefix(node: &Node, code: Code) -> Response<ReplyBody> {
    Refusal::new(node, code).key_prefix(locate::issue_prefix(node)).into_response(code)
}

async fn answer_as_home(node: &Rc<Node>, ask: &Rc<Ask>, key: Key) -> Response<ReplyBody> {
    let step = node.cores.borrow_mut().home.begin(&key, ask.fingerprint);
    let step = match step {
        Step::Note(witness) => {
            let reply = ask_to_note(node, &key, witness).await;
            node.cores.borrow_mut().home.handle_note_reply(key.id, reply, node.now())
        }
        step => step,
    };
    match step {
        Step::Start => run(node, ask, key).await,
        Step::Kept(answer) => kept(node, &answer),
        Step::Wait(ms) => {
            let refusal = Refusal::new(node, Code::StillRunning).retry_after(ms);
            refusal.into_response(Code::StillRunning)
        }
        Step::Refuse(code) => refuse_with_prefix(node, code),
        // The witness was asked above, and is asked once.
        Step::Note(_) => refuse(node, Code::WitnessSilent),
    }
}

/// Asks a witness to note a key; `None` if it stays silent.
async fn ask_to_note(node: &Node, key: &Key, witness: RouterRef) -> Option<NoteReply> {
    let question = Message::Note { key: key.id, prefix: key.prefix };
    ask_witness(node, witness, node.note_replies.register(key.id), &question).await
}

/// Repeats a question to a witness until it answers; `None` if it stays silent.
async fn ask_witness<V>(
    node: &Node,
    witness: RouterRef,
    mut answers: Awaited<KeyId, V>,
    question: &Message,
) -> Option<V> {
    let addr = peer_addr(node, witness)?;
    for _ in 0..TRIES {
        peer::send(node, addr, question);
        if let Ok(reply) = time::timeout(REPEAT, answers.next()).await {
            return reply;
        }
    }
    None
}

fn peer_addr(node: &Node, router: RouterRef) -> Option<SocketAddr> {
    node.cores.borrow().members.get(router.id).map(|it| it.heartbeat.peer)
}

/// Runs a key that was cleared to start.
///
/// The run goes on if its caller leaves, so that the answer can be kept.
async fn run(node: &Rc<Node>, ask: &Rc<Ask>, key: Key) -> Response<ReplyBody> {
    let (done, outcome) = oneshot::channel();
    let task = (Rc::clone(node), Rc::clone(ask), key);
    tokio::task::spawn_local(async move {
        let (node, ask, key) = task;
        let response = execute(&node, &ask, &key).await;
        // The caller may have left.
        let _ = done.send(response);
    });
    let limit = Duration::from_millis(ask.time_left(node.now()));
    match time::timeout(limit, outcome).await {
        Ok(Ok(response)) => response,
        _ => refuse(node, Code::DeadlinePassed),
    }
}

async fn execute(node: &Rc<Node>, ask: &Ask, key: &Key) -> Response<ReplyBody> {
    let mut refused = Code::NoEndpoint;
    for service in service::rank(node, ask) {
        // A router that was paused must not start what its caller has given up.
        if ask.time_left(node.now()) == 0 {
            refused = Code::KeySealed;
            break;
        }
        service::log_route(node, ask, service);
        match call_fresh(node, ask, service).await {
            Ok(answer) => return finish(node, key, answer),
            Err(ServiceError::NotRun) => refused = Code::EndpointRefused,
            Err(ServiceError::Unknown) => {
                warn!("once: outcome of {} is unknown", ask.run_id);
                node.cores.borrow_mut().home.mark_broken(key.id, node.now());
                return refuse(node, Code::OutcomeUnknown);
            }
        }
    }
    info!("once: {} did not run: {refused}", ask.run_id);
    node.cores.borrow_mut().home.mark_refused(key.id, refused, node.now());
    hand_over(node, key, None);
    refuse_with_prefix(node, refused)
}

/// Calls a service over a new connection: a failure to connect proves that the
/// request did not run.
async fn call_fresh(
    node: &Rc<Node>,
    ask: &Ask,
    service: EndpointId,
) -> Result<ServiceAnswer, ServiceError> {
    let addr = service::address(node, service).ok_or(ServiceError::NotRun)?;
    let connection = node.upstream.connect(addr).await;
    let connection = connection.map_err(|err| service::note_not_connected(node, service, err))?;
    let limit = Duration::from_millis(ask.time_left(node.now())) + AFTER_DEADLINE;
    service::call(ask, connection, limit).await
}

fn finish(node: &Rc<Node>, key: &Key, answer: ServiceAnswer) -> Response<ReplyBody> {
    let keep = answer.body.len() <= node.settings.limits.kept_answer;
    let body = keep.then(|| answer.body.to_vec());
    let kept = Rc::new(Answer { status: answer.status, body });
    node.cores.borrow_mut().home.mark_finished(key.id, Rc::clone(&kept), node.now());
    let fits = kept.body.as_ref().is_some_and(|body| body.len() <= HANDOVER_BYTES);
    let body = kept.body.clone().filter(|_| fits);
    hand_over(node, key, Some(Answer { status: kept.status, body }));
    reply(answer.status, answer.body)
}

/// Hands a finished key over to its witness, so that its outcome survives the
/// home.
fn hand_over(node: &Rc<Node>, key: &Key, answer: Option<Answer>) {
    let Some(witness) = key.prefix.witness else { return };
    let Some(addr) = peer_addr(node, witness) else { return };
    let (node, key) = (Rc::clone(node), key.id);
    tokio::task::spawn_local(async move {
        let mut acks = node.finish_acks.register(key);
        for _ in 0..FINISH_TRIES {
            peer::send(&node, addr, &Message::Finish { key, answer: answer.clone() });
            if time::timeout(REPEAT, acks.next()).await.is_ok() {
                return;
            }
        }
    });
}

/// Judges a key whose home cannot be reached: its witness knows whether it may
/// have started.
async fn judge_without_home(node: &Rc<Node>, ask: &Ask, key: &Key) -> Response<ReplyBody> {
    let reply = match key.prefix.witness {
        Some(witness) if witness == node.own => {
            Some(node.cores.borrow_mut().witness.seal(key.id, key.prefix, node.now()))
        }
        Some(witness) => ask_to_seal(node, key, witness).await,
        None => None,
    };
    info!("once: home of {} is out of reach; its witness: {}", ask.run_id, describe(&reply));
    match reply {
        Some(SealReply::Sealed) => refuse_with_prefix(node, Code::KeySealed),
        Some(SealReply::Done(answer)) => {
            let mut response = kept(node, &Rc::new(answer));
            set_header(&mut response, "x-kept-by", "witness");
            response
        }
        Some(SealReply::Noted | SealReply::Forgotten) | None => refuse(node, Code::OutcomeUnknown),
    }
}

fn describe(reply: &Option<SealReply>) -> &'static str {
    match reply {
        Some(SealReply::Sealed) => "never started, now sealed",
        Some(SealReply::Noted) => "may have started",
        Some(SealReply::Done(_)) => "ran",
        Some(SealReply::Forgotten) => "forgotten",
        None => "silent",
    }
}

async fn ask_to_seal(node: &Node, key: &Key, witness: RouterRef) -> Option<SealReply> {
    let question = Message::Seal { key: key.id, prefix: key.prefix };
    ask_witness(node, witness, node.seal_replies.register(key.id), &question).await
}

/// Returns whether a finished key is still being handed over to its witness.
pub(crate) fn is_handing_over(node: &Node) -> bool {
    node.finish_acks.len() > 0
}
