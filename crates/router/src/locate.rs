//! Handler of `/locate`, which tells clients which routers to use.

use std::{net::SocketAddr, rc::Rc};

use hyper::Response;
use mimosaledge_core::{
    Code,
    hash::{hash32, rendezvous_score},
    head::ActiveConfig,
    idempotency::KeyPrefix,
    members::{Heartbeat, Phase, hash_data_centre},
};
use mimosaledge_net::server::{ReplyBody, reply};
use serde::Serialize;

use crate::{
    node::Node,
    request::chat_hash,
    response::{error_response, set_code},
};

/// Maximum number of routers in a response.
const MAX_ROUTERS: usize = 3;

#[derive(Serialize)]
struct LocateResponse {
    /// Addresses of routers, best first.
    routers: Vec<SocketAddr>,
    /// Time for which the client may cache the response, in milliseconds.
    keep_ms: u64,
    /// Prefix for idempotency keys.
    #[serde(skip_serializing_if = "Option::is_none")]
    key_prefix: Option<String>,
}

/// Handles a request to `/locate`.
pub(crate) fn handle(node: &Rc<Node>, query: &str) -> Response<ReplyBody> {
    let param = |name: &str| {
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|it| it.0 == name).map(|it| it.1)
    };
    let Some(active) = node.active() else { return error_response(node, Code::NoConfiguration) };
    let workspace = param("workspace").unwrap_or("");
    if !active.config.workspaces.contains_key(workspace) {
        return error_response(node, Code::UnknownWorkspace);
    }
    let chat_hash = chat_hash(workspace, param("chat").unwrap_or(""));
    let data_centre = param("data_centre")
        .map_or_else(|| hash_data_centre(&node.settings.data_centre), hash_data_centre);
    let mut ranked = node.state.borrow().members.rank_serving(chat_hash, data_centre, node.now());
    if let Some(model) = param("model").or_else(|| single_model(&active)) {
        move_home_first(node, &mut ranked, chat_hash, model);
    }
    let routers: Vec<SocketAddr> = ranked.iter().take(MAX_ROUTERS).map(|it| it.http).collect();
    if routers.is_empty() {
        return error_response(node, node.phase().refusal_code(false));
    }
    let key_prefix = issue_prefix(node).map(|it| it.to_string());
    let response_body =
        LocateResponse { routers, keep_ms: node.settings.limits.keep_ms, key_prefix };
    let mut response = reply(200, serde_json::to_vec(&response_body).unwrap_or_default());
    set_code(&mut response, Code::Done);
    response
}

/// Returns the name of the model if the configuration has exactly one.
fn single_model(active: &ActiveConfig) -> Option<&str> {
    let mut models = active.config.models.keys();
    models.next().filter(|_| models.next().is_none()).map(|it| &**it)
}

/// Moves the admission home of the chat's first-choice engine to the front, since
/// that router can admit requests to the engine without a datagram.
fn move_home_first(node: &Node, ranked: &mut [Heartbeat], chat_hash: u64, model: &str) {
    let state = node.state.borrow();
    let region = &node.settings.region;
    let engines = state.endpoints.live_engines(hash32(model.as_bytes()));
    let first_choice = engines
        .filter(|(_, it)| it.info.region == *region)
        .map(|(id, _)| (rendezvous_score(chat_hash, u64::from(id.0), 1.0), id))
        .max_by(|a, b| a.0.total_cmp(&b.0));
    let Some((_, engine)) = first_choice else { return };
    let home = state.members.admission_home(engine.0, node.now()).router;
    if let Some(position) = ranked.iter().position(|it| it.router == home) {
        ranked[..=position].rotate_right(1);
    }
}

/// Issues a key prefix whose home is this router, or `None` if the router is not
/// serving.
pub(crate) fn issue_prefix(node: &Node) -> Option<KeyPrefix> {
    if node.phase() != Phase::Serving {
        return None;
    }
    let serial = u64::from(node.next_serial());
    let state = &mut *node.state.borrow_mut();
    let witness = state.members.witness(serial, node.now()).map(|it| it.router);
    Some(state.key_home.issue_prefix(witness))
}
