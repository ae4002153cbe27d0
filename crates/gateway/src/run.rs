//! Starts, watches and stops a gateway.

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
    dialect::Dialect,
    directory,
    drain::Phase,
    exchange, follow,
    gateway::Gateway,
    listener,
    log_sink::LogSink,
    metrics::{self, Metrics},
    settings::Settings,
    socket,
    store::Store,
    sync,
};

/// Pause between two rounds of upkeep.
const UPKEEP_PAUSE: Duration = Duration::from_millis(250);
/// A pause of the loop beyond this means that the process stood still, in
/// milliseconds.
const STALL_MS: u64 = 1_200;
/// Time after a planned stop begins in which clients still find the gateway
/// serving, so that those with an older directory answer are not cut off.
const LEAVE_TIME: Duration = Duration::from_millis(2_500);
/// Time before the end of the grace period at which the process exits.
const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// Pause between two looks whether all connections have ended.
const END_LOOK: Duration = Duration::from_millis(50);

/// Runs a gateway until it is asked to stop; `path` is the file that `settings`
/// were read from, and is read again at a hangup.
///
/// # Errors
///
/// Returns an error if the gateway cannot listen or watch signals.
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
    let ended = runtime::block_on(async { serve(gateway.clone(), path, &log).await })?;
    if let Err(err) = &ended {
        spdlog::error!("gateway: failed, cause={err:?}");
    }
    log.close();
    ended
}

/// Logs a panic: it ends one request or task, and the rest go on.
fn log_panics() {
    panic::set_hook(Box::new(|info| {
        spdlog::error!("gateway: panic={:?}", info.to_string());
    }));
}

async fn serve(gateway: Rc<Gateway>, path: &Path, log: &LogSink) -> Result<()> {
    // First of all: until a signal is watched, it kills the process.
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut reload = signal(SignalKind::hangup())?;
    let settings = &gateway.settings;
    spdlog::info!(
        "gateway: started name={} data_centre={} clients={}",
        settings.name,
        settings.data_centre,
        settings.listen.clients
    );
    let beats = UdpSocket::bind((settings.address, settings.listen.peers))
        .await
        .wrap_err("cannot bind the port for peers")?;
    let beats = Rc::new(beats);
    gateway.beats.get_or_init(|| beats.clone());
    let accepting = listen_all(&gateway)?;
    spawn_local(follow::follow_config(gateway.clone()));
    spawn_local(follow::follow_endpoints(gateway.clone()));
    spawn_local(follow::follow_gateways(gateway.clone()));
    spawn_local(exchange::exchange(gateway.clone(), beats));
    let mut looked = gateway.now();
    loop {
        tokio::select! {
            () = sleep(UPKEEP_PAUSE) => {
                look_for_stall(&gateway, looked);
                looked = gateway.now();
                keep_up(&gateway);
                log.hand_over();
            }
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = reload.recv() => read_again(&gateway, path),
        }
    }
    stop(&gateway, accepting, log).await;
    Ok(())
}

fn read_again(gateway: &Gateway, path: &Path) {
    match Settings::from_file(path) {
        Ok(settings) => {
            let restart = settings.listen != gateway.settings.listen
                || settings.store != gateway.settings.store
                || settings.address != gateway.settings.address;
            gateway.reload(&settings);
            spdlog::info!(
                "gateway: reload=done needs_restart={restart} bounds={:?}",
                settings.bounds
            );
        }
        Err(err) => spdlog::error!("gateway: reload=refused cause={:?}", format!("{err:#}")),
    }
}

fn listen_all(gateway: &Rc<Gateway>) -> Result<JoinHandle<()>> {
    let listen = &gateway.settings.listen;
    let clients = socket::listen(listen.clients).wrap_err("cannot listen for clients")?;
    let ready = socket::listen(listen.ready).wrap_err("cannot listen for readiness checks")?;
    let locate = socket::listen(listen.directory).wrap_err("cannot listen for the directory")?;
    let address = gateway.settings.address;
    let copies = socket::listen(std::net::SocketAddrV4::new(address, listen.peers))
        .wrap_err("cannot listen for peers")?;
    let numbers = socket::listen(std::net::SocketAddrV4::new(address, listen.metrics))
        .wrap_err("cannot listen for metrics")?;
    let it = gateway.clone();
    spawn_local(server::serve(ready, move |request| {
        directory::check_readiness(it.clone(), request)
    }));
    let it = gateway.clone();
    spawn_local(server::serve(locate, move |request| directory::locate(it.clone(), request)));
    let it = gateway.clone();
    spawn_local(server::serve(numbers, move |request| metrics::serve_metrics(it.clone(), request)));
    spawn_local(sync::serve_copies(gateway.clone(), copies));
    Ok(spawn_local(listener::accept_clients(gateway.clone(), clients)))
}

/// Distrusts connections after the process stood still: their other ends may
/// have given them up.
fn look_for_stall(gateway: &Gateway, looked: mimosaledge_core::Millis) {
    let pause_ms = gateway.now().since(looked);
    if pause_ms < STALL_MS {
        return;
    }
    spdlog::warn!("gateway: stood still, pause_ms={pause_ms}");
    for slot in gateway.fleet.borrow().slots() {
        slot.pool.clear();
    }
    gateway.reread.notify_one();
}

fn keep_up(gateway: &Rc<Gateway>) {
    let now = gateway.now();
    let offset = gateway.endpoints.borrow().offset();
    gateway.apply_changes(Vec::new(), offset);
    for slot in gateway.fleet.borrow().slots() {
        slot.pool.close_expired();
        let slot = slot.clone();
        if !slot.is_open() {
            spawn_local(async move { slot.try_again(now).await });
        }
    }
}

async fn stop(gateway: &Rc<Gateway>, accepting: JoinHandle<()>, log: &LogSink) {
    let began = Instant::now();
    let grace = Duration::from_secs_f64(gateway.bounds.get().grace_s);
    let end = began + grace.saturating_sub(EXIT_MARGIN);
    gateway.drain.enter(Phase::Leaving);
    spdlog::info!("gateway: stopping connections={}", gateway.drain.connections());
    log.hand_over();
    sleep_until((began + LEAVE_TIME).min(end)).await;
    // Clients that come later find nobody listening and turn to another
    // gateway; a request taken now could outlast the grace period.
    accepting.abort();
    gateway.drain.enter(Phase::Closing);
    while gateway.drain.connections() > 0 && Instant::now() < end {
        sleep(END_LOOK).await;
    }
    spdlog::info!("gateway: stopped connections={}", gateway.drain.connections());
}
