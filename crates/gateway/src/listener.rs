//! Accepts and serves connections from clients, and from gateways that hand requests over.

use std::{convert::Infallible, io, net::SocketAddr, pin::pin, rc::Rc, time::Duration};

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
    time::{Instant, sleep, timeout},
};

use crate::{
    client_body::ClientBody,
    client_memory::ClientMemory,
    gateway::Gateway,
    request::{self, Source},
    socket,
};

/// Delay after a failed accept, for example when the process has run out of
/// file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time without a new connection after which the queue of a listener that closes is empty.
const QUEUE_IDLE_TIME: Duration = Duration::from_millis(20);
/// Time for which a connection stays open in a graceful shutdown for a request that has
/// arrived and was not read yet.
const ARRIVAL_TIME: Duration = Duration::from_millis(100);
/// Maximum time for which connections are accepted from the queue of a listener that closes.
const MAX_QUEUE_TIME: Duration = Duration::from_millis(200);
/// Time after the idle timeout at which an idle connection is closed, so that a
/// client that reuses it up to the timeout never races with the close.
const IDLE_MARGIN: Duration = Duration::from_secs(2);
/// Minimum size of the read buffer that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Accepts and serves connections from clients, or from gateways that hand requests over,
/// until a graceful shutdown closes the listener.
///
/// Connections that wait in its queue by then are accepted as well, since their clients may
/// have sent requests, also if the process was paused and there are many.
pub(crate) async fn accept(gateway: Rc<Gateway>, listener: TcpListener, source: Source) {
    let mut closing = pin!(gateway.drain.wait_for_closing());
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = closing.as_mut() => break,
        };
        handle_accepted(&gateway, accepted, source).await;
    }
    let end = Instant::now() + MAX_QUEUE_TIME;
    while Instant::now() < end
        && let Ok(accepted) = timeout(QUEUE_IDLE_TIME, listener.accept()).await
    {
        handle_accepted(&gateway, accepted, source).await;
    }
}

async fn handle_accepted(
    gateway: &Rc<Gateway>,
    accepted: io::Result<(TcpStream, SocketAddr)>,
    source: Source,
) {
    match accepted {
        Ok((_, from)) if source == Source::Gateway && !is_gateway(gateway, from) => {
            spdlog::warn!("listener: address={from} is no gateway, connection dropped");
        }
        Ok((stream, _)) => match socket::set_options(&stream) {
            Ok(()) => {
                // Without room for it, the connection is closed before anything is read.
                if let Ok(client) = ClientMemory::open(&gateway.memory, source == Source::Gateway) {
                    spawn_local(serve_connection(gateway.clone(), stream, source, client));
                }
            }
            Err(err) => spdlog::warn!(
                "listener: cannot set socket options, connection dropped, cause={err}"
            ),
        },
        Err(err) => {
            spdlog::warn!("listener: cannot accept, cause={err}");
            sleep(ACCEPT_RETRY_DELAY).await;
        }
    }
}

fn is_gateway(gateway: &Gateway, from: SocketAddr) -> bool {
    match from {
        SocketAddr::V4(from) => gateway.peers.borrow().is_known(*from.ip()),
        SocketAddr::V6(_) => false,
    }
}

/// Serves one connection, until it ends or has to give way to others.
async fn serve_connection(
    gateway: Rc<Gateway>,
    stream: TcpStream,
    source: Source,
    client: Rc<ClientMemory>,
) {
    let _guard = gateway.drain.count_connection();
    tokio::select! {
        () = serve_requests(&gateway, stream, source, &client) => {}
        () = client.wait_for_close() => {}
    }
}

/// Serves the requests of one connection; a graceful shutdown closes it after the request in
/// flight, which may not have been read yet.
async fn serve_requests(
    gateway: &Rc<Gateway>,
    stream: TcpStream,
    source: Source,
    client: &Rc<ClientMemory>,
) {
    let limits = gateway.routes.borrow().limits();
    let service =
        service_fn(|request| handle_request(gateway.clone(), request, source, client.clone()));
    let connection = http1::Builder::new()
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.idle_timeout_ms) + IDLE_MARGIN)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    tokio::select! {
        // A connection error affects only this client.
        _ = connection.as_mut() => return,
        () = gateway.drain.wait_for_closing() => {}
    }
    if timeout(ARRIVAL_TIME, connection.as_mut()).await.is_err() {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}

async fn handle_request(
    gateway: Rc<Gateway>,
    incoming: Request<Incoming>,
    source: Source,
    client: Rc<ClientMemory>,
) -> Result<Response<ReplyBody>, Infallible> {
    let mut response = request::serve(&gateway, incoming, source, &client).await;
    if gateway.drain.is_stopping() || client.is_last_request() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response.map(|it| Box::pin(ClientBody::new(it, client)) as ReplyBody))
}
