//! Requests to engines, whose responses are streamed.

use std::rc::Rc;

use hyper::Response;
use mimosaledge_core::placement::PlacementHint;
use mimosaledge_net::server::{ReplyBody, channel_body};
use spdlog::info;

use crate::{
    api::OpenRequestGuard,
    node::Node,
    request::ClientRequest,
    response::{ErrorResponse, set_header},
    start::start,
    stream::StreamRelay,
};

/// Maximum number of lines buffered for a slow client.
const STREAM_BUFFER_LINES: usize = 64;

/// Runs a request on an engine and streams the response.
pub(crate) async fn handle(
    node: &Rc<Node>,
    request: &Rc<ClientRequest>,
    open_request: OpenRequestGuard,
) -> Response<ReplyBody> {
    let run = match start(node, request, 0, None, None).await {
        Ok(run) => run,
        Err(error) => {
            info!(
                "route: {} of {} was rejected: {}",
                request.run_id, request.workspace, error.code
            );
            let response = ErrorResponse::new(node, error.code);
            let response = match error.retry_ms {
                Some(ms) => response.retry_after(u64::from(ms)),
                None => response,
            };
            return response.into_response(error.code);
        }
    };
    let hint = PlacementHint { engine: run.engine, incarnation: run.incarnation };
    let (sender, body) = channel_body(STREAM_BUFFER_LINES);
    let (node, request) = (Rc::clone(node), Rc::clone(request));
    let mut response = Response::new(body);
    set_header(&mut response, "x-place-hint", &hint.to_string());
    set_header(&mut response, "x-run-id", &request.run_id);
    tokio::task::spawn_local(async move {
        let relay = StreamRelay::new(node, request, sender);
        relay.relay(run).await;
        drop(open_request);
    });
    response
}
