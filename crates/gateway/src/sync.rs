//! Fetches the configuration and endpoint list over TCP from another gateway
//! that has newer ones, for example while this one cannot reach the store.

use std::{cell::Cell, io, net::Ipv4Addr, rc::Rc, time::Duration};

use mimosaledge_core::hash::hash64;
use mimosaledge_peer::{
    ListUpdate, SyncRequest, SyncResponse,
    sync::{self as messages, SyncMessage},
};
use mimosaledge_policy::FleetConfig;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::spawn_local,
    time::{sleep, timeout},
};

use crate::{gateway::Gateway, socket};

/// Timeout for one sync, on both sides.
const SYNC_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Minimum delay before a sync, within which the store or a datagram usually
/// delivers the missing state.
const SYNC_DELAY: Duration = Duration::from_millis(120);
/// Range of the jitter that is added to this delay, in milliseconds; it differs
/// between gateways.
const SYNC_JITTER_MS: u64 = 300;
/// Maximum number of syncs served at a time, so that each completes within
/// [`SYNC_TIMEOUT`].
const MAX_CONCURRENT_SYNCS: usize = 2;
/// Delay after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Maximum size of a message, in bytes.
const MAX_MESSAGE_BYTES: u32 = 8 << 20;

/// Starts a sync if another gateway has newer state and no sync is in progress.
pub(crate) fn start_if_behind(gateway: &Rc<Gateway>, is_syncing: &Rc<Cell<bool>>) {
    if is_syncing.get() || find_newer_peer(gateway).is_none() {
        return;
    }
    is_syncing.set(true);
    let (gateway, is_syncing) = (gateway.clone(), is_syncing.clone());
    spawn_local(async move {
        let jitter_ms = hash64(gateway.settings.name.as_bytes()) % SYNC_JITTER_MS;
        sleep(SYNC_DELAY + Duration::from_millis(jitter_ms)).await;
        if let Some(address) = find_newer_peer(&gateway) {
            sync_from(&gateway, address).await;
        }
        is_syncing.set(false);
    });
}

/// Returns a peer with a newer configuration or, unless this gateway reads the
/// endpoint list itself, with a newer list.
fn find_newer_peer(gateway: &Gateway) -> Option<Ipv4Addr> {
    let include_list = !gateway.is_list_reader();
    gateway.peers.borrow().find_newer(gateway.state_summary(), include_list, gateway.now())
}

async fn sync_from(gateway: &Gateway, address: Ipv4Addr) {
    let summary = gateway.state_summary();
    let request = SyncRequest {
        version: summary.version,
        position: summary.position,
        digest: summary.digest,
    };
    match timeout(SYNC_TIMEOUT, request_sync(gateway, address, request)).await {
        Ok(Ok(response)) => apply_response(gateway, response, summary.digest, address),
        Ok(Err(err)) => spdlog::info!("sync: address={address} failed, cause={err}"),
        Err(_) => spdlog::info!("sync: address={address} failed, cause=timeout"),
    }
}

/// Serves syncs of other gateways.
///
/// Beyond [`MAX_CONCURRENT_SYNCS`], connections are closed at once; the other
/// gateway tries again later, usually with another peer.
pub(crate) async fn serve_syncs(gateway: Rc<Gateway>, listener: TcpListener) {
    // Each sync in progress holds one more reference.
    let active = Rc::new(());
    loop {
        match listener.accept().await {
            Ok(_) if Rc::strong_count(&active) > MAX_CONCURRENT_SYNCS => {}
            Ok((stream, from)) => {
                let (gateway, permit) = (gateway.clone(), active.clone());
                spawn_local(async move {
                    let _permit = permit;
                    match timeout(SYNC_TIMEOUT, serve_sync(&gateway, stream)).await {
                        Ok(Ok(())) => {}
                        Ok(Err(err)) => spdlog::info!("sync: asker={from} failed, cause={err}"),
                        Err(_) => spdlog::info!("sync: asker={from} failed, cause=timeout"),
                    }
                });
            }
            Err(err) => {
                spdlog::warn!("sync: cannot accept connection, cause={err}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn request_sync(
    gateway: &Gateway,
    address: Ipv4Addr,
    request: SyncRequest,
) -> io::Result<SyncResponse> {
    let mut stream = TcpStream::connect((address, gateway.settings.listen.peers)).await?;
    socket::set_options(&stream)?;
    write_message(&mut stream, &request).await?;
    read_message(&mut stream).await
}

fn apply_response(gateway: &Gateway, response: SyncResponse, base_digest: u64, address: Ipv4Addr) {
    let source = address.to_string();
    if let Some(config) = response.config {
        gateway.apply_config(config, &source);
    }
    let is_newer = response.position > gateway.endpoints.borrow().position();
    if !is_newer || gateway.is_list_reader() {
        return;
    }
    match response.list {
        ListUpdate::Unchanged => return,
        // The list has changed since the request, so that the changes are no
        // longer relative to it.
        ListUpdate::Changes(_) if gateway.state_summary().digest != base_digest => return,
        ListUpdate::Changes(changes) => {
            gateway.apply_peer_changes(changes, response.position, &source);
            gateway.endpoints.borrow_mut().confirm_at(response.position);
        }
        ListUpdate::Full(list) => gateway.replace_from_peer(list, response.position, &source),
    }
    gateway.confirm_list(response.age_ms);
}

async fn serve_sync(gateway: &Gateway, mut stream: TcpStream) -> io::Result<()> {
    let request: SyncRequest = read_message(&mut stream).await?;
    let position = gateway.endpoints.borrow().position();
    let response = SyncResponse {
        config: gateway
            .config
            .borrow()
            .as_ref()
            .filter(|it| it.version > request.version)
            .map(|it| FleetConfig::clone(it)),
        list: list_update_since(gateway, &request),
        position,
        age_ms: gateway.list_age_ms(),
    };
    write_message(&mut stream, &response).await
}

fn list_update_since(gateway: &Gateway, request: &SyncRequest) -> ListUpdate {
    let endpoints = gateway.endpoints.borrow();
    if endpoints.position() <= request.position {
        return ListUpdate::Unchanged;
    }
    match gateway.history.borrow().since(request.digest) {
        Some(changes) => ListUpdate::Changes(changes),
        None => ListUpdate::Full(endpoints.iter().cloned().collect()),
    }
}

async fn write_message(stream: &mut TcpStream, message: &impl SyncMessage) -> io::Result<()> {
    let bytes = messages::encode(message).map_err(io::Error::other)?;
    let length = u32::try_from(bytes.len()).map_err(io::Error::other)?;
    stream.write_u32(length).await?;
    stream.write_all(&bytes).await
}

async fn read_message<T: SyncMessage>(stream: &mut TcpStream) -> io::Result<T> {
    let length = stream.read_u32().await?;
    if length > MAX_MESSAGE_BYTES {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "message too large"));
    }
    let mut bytes = vec![0; length as usize];
    stream.read_exact(&mut bytes).await?;
    messages::decode(&bytes).map_err(io::Error::other)
}
