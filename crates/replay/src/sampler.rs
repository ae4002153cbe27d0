//! Reads loads and totals of engines, services and routers over HTTP.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use mimosaledge_net::{Vm, VmKind, http::Call};
use mimosaledge_standin::{engine::Statistics, service::Runs};
use tokio::{task::JoinSet, time};

/// Timeout for a call to one engine or router.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);

/// Loads of all engines at one point in time.
#[derive(Debug, Clone)]
pub struct LoadSample {
    /// Time from the start of the run.
    pub elapsed: Duration,
    /// Load by engine name; engines that did not respond are absent.
    pub loads: BTreeMap<String, u32>,
}

/// Background task that samples engine loads until it is stopped.
#[derive(Debug)]
pub struct Sampler {
    samples: Rc<RefCell<Vec<LoadSample>>>,
    task: tokio::task::JoinHandle<()>,
}

impl Sampler {
    /// Starts sampling the engines among `vms` every `interval`.
    pub fn start(vms: &[Vm], interval: Duration) -> Sampler {
        let engines: Vec<Vm> = vms.iter().filter(|it| it.kind == VmKind::Engine).cloned().collect();
        let samples = Rc::new(RefCell::new(Vec::new()));
        let sink = Rc::clone(&samples);
        let task = tokio::task::spawn_local(async move {
            let start = Instant::now();
            let mut ticks = time::interval(interval);
            ticks.set_missed_tick_behavior(time::MissedTickBehavior::Skip);
            loop {
                ticks.tick().await;
                let elapsed = start.elapsed();
                let loads = fetch_loads(&engines).await;
                sink.borrow_mut().push(LoadSample { elapsed, loads });
            }
        });
        Sampler { samples, task }
    }

    /// Stops sampling and returns the samples.
    pub fn stop(self) -> Vec<LoadSample> {
        self.task.abort();
        self.samples.take()
    }
}

async fn fetch_loads(engines: &[Vm]) -> BTreeMap<String, u32> {
    let mut calls = JoinSet::new();
    for engine in engines {
        let (name, addr) = (engine.name.to_string(), engine.addr);
        calls.spawn_local(async move { (name, fetch_statistics(addr).await) });
    }
    let mut loads = BTreeMap::new();
    while let Some(Ok((name, statistics))) = calls.join_next().await {
        if let Some(statistics) = statistics {
            loads.insert(name, statistics.load);
        }
    }
    loads
}

async fn fetch_statistics(addr: SocketAddr) -> Option<Statistics> {
    let body = Call::get(addr, "/statistics").timeout(FETCH_TIMEOUT).send_ok().await.ok()?;
    serde_json::from_slice(&body).ok()
}

/// Returns the number of runs of each idempotency key, summed over the services among
/// `vms`; services that do not respond are skipped. Requests without a key count
/// under their request ID.
pub async fn fetch_run_counts(vms: &[Vm]) -> BTreeMap<String, u32> {
    let mut total: BTreeMap<String, u32> = BTreeMap::new();
    for service in vms.iter().filter(|it| it.kind == VmKind::Service) {
        let call = Call::get(service.addr, "/runs").timeout(Duration::from_secs(5));
        let Ok(body) = call.send_ok().await else { continue };
        let runs: Runs = serde_json::from_slice(&body).unwrap_or_default();
        for (key, count) in runs.runs {
            *total.entry(key).or_default() += count;
        }
    }
    total
}

/// Cumulative totals of one router.
#[derive(Debug, Clone, Default)]
pub struct RouterTotals {
    /// Control bytes sent and received, by kind of message.
    pub control_bytes: BTreeMap<String, f64>,
    /// CPU time, in seconds.
    pub cpu_s: f64,
    /// Resident memory, in bytes.
    pub resident_bytes: f64,
}

/// Reads the totals of the routers with operator addresses `routers`; `None` stands
/// for a router that did not respond.
pub async fn fetch_router_totals(routers: &[SocketAddr]) -> Vec<Option<RouterTotals>> {
    let mut totals = Vec::new();
    for &router in routers {
        let response = Call::get(router, "/metrics").timeout(FETCH_TIMEOUT).send_ok().await;
        totals.push(response.ok().map(|body| parse_metrics(&String::from_utf8_lossy(&body))));
    }
    totals
}

fn parse_metrics(text: &str) -> RouterTotals {
    let mut totals = RouterTotals::default();
    for line in text.lines().filter(|it| !it.starts_with('#')) {
        let Some((name, value)) = line.rsplit_once(' ') else { continue };
        let value: f64 = value.parse().unwrap_or(0.0);
        if name.starts_with("mimosaledge_control_") {
            let kind = name.split('"').nth(1).unwrap_or("unknown").to_owned();
            *totals.control_bytes.entry(kind).or_default() += value;
        } else if name == "mimosaledge_cpu_milliseconds" {
            totals.cpu_s = value / 1e3;
        } else if name == "process_resident_memory_bytes" {
            totals.resident_bytes = value;
        }
    }
    totals
}
