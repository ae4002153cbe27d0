//! Requests to model engines.

use std::rc::Rc;

use hyper::Response;
use mimosaledge_core::placement::PlacementHint;
use mimosaledge_net::server::{ReplyBody, channel_body};
use spdlog::info;

use crate::{
    answer::{Refusal, set_header},
    front::OpenRequest,
    node::Node,
    request::Ask,
    start::start,
    stream::Stream,
};

/// Pieces of an answer that wait for a slow caller.
const STREAM_DEPTH: usize = 64;

/// Runs a request on an engine and streams the answer.
pub(crate) async fn answer(
    node: &Rc<Node>,
    ask: &Rc<Ask>,
    open: OpenRequest,
) -> Response<ReplyBody> {
    let run = match start(node, ask, 0, None).await {
        Ok(run) => run,
        Err(refused) => {
            info!("route: {} of {} was refused: {}", ask.run_id, ask.workspace, refused.code);
            let refusal = Refusal::new(node, refused.code);
            let refusal = match refused.retry_ms {
                Some(ms) => refusal.retry_after(u64::from(ms)),
                None => refusal,
            };
            return refusal.into_response(refused.code);
        }
    };
    let hint = PlacementHint { engine: run.engine, incarnation: run.incarnation };
    let (sender, body) = channel_body(STREAM_DEPTH);
    let (node, ask) = (Rc::clone(node), Rc::clone(ask));
    let mut response = Response::new(body);
    set_header(&mut response, "x-place-hint", &hint.to_string());
    set_header(&mut response, "x-run-id", &ask.run_id);
    tokio::task::spawn_local(async move {
        let stream = Stream::new(node, ask, sender);
        stream.relay(run).await;
        drop(open);
    });
    response
}
