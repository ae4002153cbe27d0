//! Startup, maintenance and graceful shutdown of a gateway.

use std::{panic, path::Path, rc::Rc, time::Duration};

use eyre::{Context, Result};
use mimosaledge_net::{runtime, server};
use tokio::{
    net::UdpSocket,
    signal::unix::{SignalKind, signal},
    task::{JoinHandle, spawn_local},
    time::{Instant, sleep, sleep_until},
};

use crate::{
    build_records, dialect::Dialect, directory, drain::Phase, evacuation, fairness, follow,
    follow_config, gateway::Gateway, gossip, listener, log_sink::LogSink, metrics::Metrics,
    permits, reach, request::Source, settings::Settings, socket, store::Store, sync, warmup,
};

/// Interval between two runs of the maintenance tasks.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which a gateway that shuts down still accepts connections, so that
/// clients with an older directory response are not refused.
const DRAIN_DELAY: Duration = Duration::from_millis(2_500);
/// Time before the end of the grace period at which requests without a response get one.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);
/// Maximum time until these responses are written and the process exits.
const ANSWER_TIME: Duration = Duration::from_millis(250);
/// Interval between two checks whether all connections are closed.
const CONNECTIONS_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a gateway until it receives SIGTERM or SIGINT. `path` is the file that
/// `settings` were read from; SIGHUP reloads it.
///
/// # Errors
///
/// Returns an error if the gateway cannot listen or install signal handlers.
pub fn run(
    path: &Path,
    settings: Settings,
    dialect: Box<dyn Dialect>,
    store: Box<dyn Store>,
) -> Result<()> {
    let log = LogSink::install()?;
    log_panics();
    let metrics = Metrics::new()?;
    let gateway = Rc::new(Gateway::new(settings, dialect, store, metrics));
    let result = runtime::block_on(async { serve(gateway.clone(), path, &log).await })?;
    if let Err(err) = &result {
        spdlog::error!("gateway: failed, cause={err:?}");
    }
    log.close();
    result
}

/// Installs a hook that logs panics; a panic ends one request or task, and the
/// others continue.
fn log_panics() {
    panic::set_hook(Box::new(|info| {
        spdlog::error!("gateway: panic={:?}", info.to_string());
    }));
}

async fn serve(gateway: Rc<Gateway>, path: &Path, log: &LogSink) -> Result<()> {
    // Signal handlers come first: until they are installed, a signal kills the
    // process.
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut reload = signal(SignalKind::hangup())?;
    let settings = &gateway.settings;
    spdlog::info!(
        "gateway: started name={} data_centre={} clients={} first_start={}",
        settings.name,
        settings.data_centre,
        settings.listen.clients,
        settings.first_start
    );
    let peer_socket = UdpSocket::bind((settings.address, settings.listen.peers))
        .await
        .wrap_err("cannot bind the UDP port for peers")?;
    let peer_socket = Rc::new(peer_socket);
    gateway.peer_socket.get_or_init(|| peer_socket.clone());
    let accept_task = start_listeners(&gateway)?;
    spawn_local(follow_config::follow_config(gateway.clone()));
    spawn_local(follow::follow_endpoints(gateway.clone()));
    spawn_local(follow::follow_gateways(gateway.clone()));
    spawn_local(build_records::run(gateway.clone()));
    spawn_local(warmup::run(gateway.clone()));
    spawn_local(gossip::run(gateway.clone(), peer_socket));
    loop {
        tokio::select! {
            () = sleep(MAINTENANCE_INTERVAL) => {
                handle_stall(&gateway);
                gateway.maintained_at.set(gateway.now());
                run_maintenance(&gateway);
                log.send_batch();
            }
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = reload.recv() => reload_settings(&gateway, path),
        }
    }
    shut_down(&gateway, accept_task, log).await;
    Ok(())
}

fn reload_settings(gateway: &Gateway, path: &Path) {
    match Settings::from_file(path) {
        Ok(settings) => {
            let needs_restart = settings.listen != gateway.settings.listen
                || settings.store != gateway.settings.store
                || settings.address != gateway.settings.address;
            gateway.reload(&settings);
            spdlog::info!(
                "gateway: reload=done needs_restart={needs_restart} bounds={:?}",
                settings.bounds
            );
        }
        Err(err) => spdlog::error!("gateway: reload=refused cause={:?}", format!("{err:#}")),
    }
}

/// Starts all listeners; returns the task that accepts client connections.
fn start_listeners(gateway: &Rc<Gateway>) -> Result<JoinHandle<()>> {
    let listen = &gateway.settings.listen;
    let client_listener = socket::listen(listen.clients).wrap_err("cannot listen for clients")?;
    let ready_listener =
        socket::listen(listen.ready).wrap_err("cannot listen for readiness checks")?;
    let directory_listener =
        socket::listen(listen.directory).wrap_err("cannot listen for the directory")?;
    let address = gateway.settings.address;
    let sync_listener = socket::listen(std::net::SocketAddrV4::new(address, listen.peers))
        .wrap_err("cannot listen for peers")?;
    let forward_listener = socket::listen(std::net::SocketAddrV4::new(address, listen.forward))
        .wrap_err("cannot listen for requests of other gateways")?;
    let metrics_listener = socket::listen(std::net::SocketAddrV4::new(address, listen.metrics))
        .wrap_err("cannot listen for metrics")?;
    let max_connections = gateway.memory.limits().other_connections;
    let state = gateway.clone();
    spawn_local(server::serve_up_to(max_connections, ready_listener, move |req| {
        directory::check_readiness(state.clone(), req)
    }));
    let state = gateway.clone();
    spawn_local(server::serve_up_to(max_connections, directory_listener, move |req| {
        directory::serve_directory(state.clone(), req)
    }));
    let state = gateway.clone();
    spawn_local(server::serve_up_to(max_connections, metrics_listener, move |req| {
        directory::serve_metrics(state.clone(), req)
    }));
    spawn_local(sync::serve_syncs(gateway.clone(), sync_listener));
    spawn_local(listener::accept(gateway.clone(), forward_listener, Source::Gateway));
    Ok(spawn_local(listener::accept(gateway.clone(), client_listener, Source::Client)))
}

/// Gives up after a stall what may be out of date: idle connections, which the servers may
/// have closed, the long poll for the configuration, and the right to issue permits, which
/// other gateways may have taken over.
fn handle_stall(gateway: &Gateway) {
    if !gateway.is_stalled() {
        return;
    }
    let now = gateway.now();
    let pause_ms = now.since(gateway.maintained_at.get());
    spdlog::warn!("gateway: event loop stalled, pause_ms={pause_ms}");
    gateway.permit_table.borrow_mut().issuers.restart(now);
    for handle in gateway.endpoint_table.borrow().handles() {
        handle.pool.clear();
    }
    gateway.config_reread.notify_one();
}

fn run_maintenance(gateway: &Rc<Gateway>) {
    let now = gateway.now();
    permits::run_maintenance(gateway);
    evacuation::run_maintenance(gateway);
    warmup::run_maintenance(gateway);
    gateway.memory_report.update(gateway);
    fairness::run_maintenance(gateway);
    reach::log_changes(gateway);
    gateway.forward_table.borrow_mut().close_expired(now);
    for handle in gateway.endpoint_table.borrow().handles() {
        handle.pool.close_expired();
    }
    reach::start_probes(gateway);
}

/// Shuts the gateway down gracefully: reports not ready, stops accepting
/// connections after [`DRAIN_DELAY`], and waits until the open ones have closed
/// or the grace period is about to end. Requests that have no response by then get an
/// error response.
async fn shut_down(gateway: &Rc<Gateway>, accept_task: JoinHandle<()>, log: &LogSink) {
    let started = Instant::now();
    let grace = Duration::from_secs_f64(gateway.bounds.get().grace_s);
    let time_left = grace.saturating_sub(ANSWER_MARGIN);
    let deadline = started + time_left;
    gateway.drain.begin(gateway.now() + time_left.as_millis() as u64);
    spdlog::info!("gateway: stopping connections={}", gateway.drain.connections());
    log.send_batch();
    sleep_until((started + DRAIN_DELAY).min(deadline)).await;
    // A request accepted later could outlast the grace period. Clients whose
    // connection is refused use another gateway.
    gateway.drain.enter(Phase::Closing);
    if accept_task.await.is_err() {
        spdlog::error!("gateway: listener failed");
    }
    wait_for_connections(gateway, deadline).await;
    gateway.drain.enter(Phase::Answering);
    wait_for_connections(gateway, deadline + ANSWER_TIME).await;
    gateway.drain.enter(Phase::Exiting);
    spdlog::info!("gateway: stopped connections={}", gateway.drain.connections());
}

/// Waits until all connections have closed, or until `deadline`.
async fn wait_for_connections(gateway: &Gateway, deadline: Instant) {
    while gateway.drain.connections() > 0 && Instant::now() < deadline {
        sleep(CONNECTIONS_CHECK_INTERVAL).await;
    }
}
