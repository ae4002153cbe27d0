//! Clients' connections.

use std::{convert::Infallible, pin::pin, rc::Rc, time::Duration};

use hyper::{
    Request, Response,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use mimosaledge_net::server::ReplyBody;
use tokio::{
    net::{TcpListener, TcpStream},
    task::spawn_local,
    time,
};

use crate::{gateway::Gateway, request, socket};

/// Pause after a failure to accept, such as running out of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time beyond the idle limit before an idle connection is closed, so that
/// clients who use it up to the limit never meet the close.
const IDLE_MARGIN: Duration = Duration::from_secs(2);
/// Smallest buffer for a request head that the library accepts, in bytes.
const MIN_HEAD_BUFFER: usize = 8_192;

/// Serves clients until the listener is dropped.
pub(crate) async fn accept_clients(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(err) = socket::set_options(&stream, socket::PEER_TIMEOUT) {
                    spdlog::warn!("front: connection dropped, cause={err}");
                    continue;
                }
                spawn_local(serve_client(gateway.clone(), stream));
            }
            Err(err) => {
                spdlog::warn!("front: cannot accept, cause={err}");
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_client(gateway: Rc<Gateway>, stream: TcpStream) {
    let _counted = gateway.drain.count_connection();
    let limits = gateway.routes.borrow().limits();
    let service = service_fn(|request| answer(gateway.clone(), request));
    let connection = http1::Builder::new()
        .max_buf_size(limits.max_header_bytes.max(MIN_HEAD_BUFFER))
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.idle_timeout_ms) + IDLE_MARGIN)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    tokio::select! {
        // A client that breaks off concerns nobody else.
        _ = connection.as_mut() => return,
        () = gateway.drain.closing() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

async fn answer(
    gateway: Rc<Gateway>,
    incoming: Request<Incoming>,
) -> Result<Response<ReplyBody>, Infallible> {
    let mut response = request::serve(&gateway, incoming).await;
    if gateway.drain.is_stopping() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}
