//! Copies configuration and endpoints from another gateway, for when the store
//! is out of reach.

use std::{cell::Cell, io, net::Ipv4Addr, rc::Rc, time::Duration};

use mimosaledge_core::hash::hash64;
use mimosaledge_policy::{Endpoint, FleetConfig, endpoints::Change};
use serde::{Deserialize, Serialize};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::spawn_local,
    time::{sleep, timeout},
};

use crate::{gateway::Gateway, socket};

/// Longest time for one copy.
const COPY_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Wait before a copy.
const COPY_DELAY: Duration = Duration::from_millis(120);
/// Spread of that wait over gateways, in milliseconds.
const COPY_SPREAD_MS: u64 = 300;
/// Copies given at a time, so that each is done in time.
const MAX_COPIES: usize = 2;
/// Pause after a failure to accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(400);
/// Largest message, in bytes.
const MAX_MESSAGE: u32 = 8 << 20;

/// What a gateway asks another one for.
#[derive(Debug, Serialize, Deserialize)]
struct Want {
    /// The configuration that it has.
    version: u64,
    /// How far it has read the list of endpoints.
    offset: u64,
    /// Digest of that list.
    digest: u64,
}

/// The list of endpoints, as an asker needs it.
#[derive(Debug, Serialize, Deserialize)]
enum List {
    /// The asker's list is as late.
    Same,
    /// What changed since the asker's list.
    Changes(Vec<Change>),
    /// All endpoints.
    Whole(Vec<Endpoint>),
}

/// What the asker lacks.
#[derive(Debug, Serialize, Deserialize)]
struct State {
    config: Option<FleetConfig>,
    list: List,
    offset: u64,
    /// Time since the list of endpoints was read, in milliseconds.
    age_ms: u64,
}

/// Starts a copy if another gateway is ahead and no copy is under way.
pub(crate) fn catch_up(gateway: &Rc<Gateway>, syncing: &Rc<Cell<bool>>) {
    if syncing.get() || gateway_ahead(gateway).is_none() {
        return;
    }
    syncing.set(true);
    let (gateway, syncing) = (gateway.clone(), syncing.clone());
    spawn_local(async move {
        // The store or a datagram mostly brings what is missing meanwhile.
        let spread_ms = hash64(gateway.settings.name.as_bytes()) % COPY_SPREAD_MS;
        sleep(COPY_DELAY + Duration::from_millis(spread_ms)).await;
        if let Some(address) = gateway_ahead(&gateway) {
            copy_from(&gateway, address).await;
        }
        syncing.set(false);
    });
}

fn gateway_ahead(gateway: &Gateway) -> Option<Ipv4Addr> {
    let lists = !gateway.reads_endpoints();
    gateway.peers.borrow().ahead(gateway.stamp(), lists, gateway.now())
}

async fn copy_from(gateway: &Gateway, address: Ipv4Addr) {
    let stamp = gateway.stamp();
    let want = Want { version: stamp.version, offset: stamp.offset, digest: stamp.digest };
    match timeout(COPY_TIMEOUT, copy(gateway, address, want)).await {
        Ok(Ok(state)) => apply(gateway, state, stamp.digest, address),
        Ok(Err(err)) => spdlog::info!("sync: address={address} failed, cause={err}"),
        Err(_) => spdlog::info!("sync: address={address} failed, cause=timeout"),
    }
}

/// Answers other gateways' requests for a copy.
///
/// One that asks while others are served finds the connection closed, and asks
/// another gateway.
pub(crate) async fn serve_copies(gateway: Rc<Gateway>, listener: TcpListener) {
    let under_way = Rc::new(());
    loop {
        match listener.accept().await {
            Ok(_) if Rc::strong_count(&under_way) > MAX_COPIES => {}
            Ok((stream, from)) => {
                let (gateway, copy) = (gateway.clone(), under_way.clone());
                spawn_local(async move {
                    let _copy = copy;
                    match timeout(COPY_TIMEOUT, give_copy(&gateway, stream)).await {
                        Ok(Ok(())) => {}
                        Ok(Err(err)) => spdlog::info!("sync: asker={from} failed, cause={err}"),
                        Err(_) => spdlog::info!("sync: asker={from} failed, cause=timeout"),
                    }
                });
            }
            Err(err) => {
                spdlog::warn!("sync: cannot accept, cause={err}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn copy(gateway: &Gateway, address: Ipv4Addr, want: Want) -> io::Result<State> {
    let mut stream = TcpStream::connect((address, gateway.settings.listen.peers)).await?;
    socket::prepare(&stream, socket::PEER_TIMEOUT)?;
    write_message(&mut stream, &want).await?;
    read_message(&mut stream).await
}

fn apply(gateway: &Gateway, state: State, before: u64, address: Ipv4Addr) {
    let source = address.to_string();
    if let Some(config) = state.config {
        gateway.apply_config(config, &source);
    }
    let is_later = state.offset > gateway.endpoints.borrow().offset();
    if !is_later || gateway.reads_endpoints() {
        return;
    }
    match state.list {
        List::Same => return,
        // Another word may have come first.
        List::Changes(_) if gateway.stamp().digest != before => return,
        List::Changes(changes) => {
            gateway.adopt_changes(changes, state.offset, &source);
            gateway.endpoints.borrow_mut().advance_offset(state.offset);
        }
        List::Whole(endpoints) => gateway.adopt_endpoints(endpoints, state.offset, &source),
    }
    gateway.hear_list(state.age_ms);
}

async fn give_copy(gateway: &Gateway, mut stream: TcpStream) -> io::Result<()> {
    let want: Want = read_message(&mut stream).await?;
    let offset = gateway.endpoints.borrow().offset();
    let state = State {
        config: gateway
            .config
            .borrow()
            .as_ref()
            .filter(|it| it.version > want.version)
            .map(|it| FleetConfig::clone(it)),
        list: list_since(gateway, &want),
        offset,
        age_ms: gateway.list_age_ms(),
    };
    write_message(&mut stream, &state).await
}

fn list_since(gateway: &Gateway, want: &Want) -> List {
    let endpoints = gateway.endpoints.borrow();
    if endpoints.offset() <= want.offset {
        return List::Same;
    }
    match gateway.history.borrow().since(want.digest) {
        Some(changes) => List::Changes(changes),
        None => List::Whole(endpoints.iter().cloned().collect()),
    }
}

async fn write_message(stream: &mut TcpStream, message: &impl Serialize) -> io::Result<()> {
    let bytes = postcard::to_stdvec(message).map_err(io::Error::other)?;
    let length = u32::try_from(bytes.len()).map_err(io::Error::other)?;
    stream.write_u32(length).await?;
    stream.write_all(&bytes).await
}

async fn read_message<T: for<'de> Deserialize<'de>>(stream: &mut TcpStream) -> io::Result<T> {
    let length = stream.read_u32().await?;
    if length > MAX_MESSAGE {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "message too large"));
    }
    let mut bytes = vec![0; length as usize];
    stream.read_exact(&mut bytes).await?;
    postcard::from_bytes(&bytes).map_err(io::Error::other)
}
