//! Samples of engines and routers during a run.

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

/// Longest wait for a sample.
const LIMIT: Duration = Duration::from_millis(500);

/// The loads of all engines at one moment.
#[derive(Debug, Clone)]
pub struct LoadSample {
    /// Time from the start of the run.
    pub at: Duration,
    /// Load by engine; engines that did not answer are absent.
    pub loads: BTreeMap<String, u32>,
}

/// Samples engine loads until it is dropped.
#[derive(Debug)]
pub struct Sampler {
    samples: Rc<RefCell<Vec<LoadSample>>>,
    task: tokio::task::JoinHandle<()>,
}

impl Sampler {
    /// Starts sampling the engines among `vms` every `period`.
    pub fn start(vms: &[Vm], period: Duration) -> Sampler {
        let engines: Vec<Vm> = vms.iter().filter(|it| it.kind == VmKind::Engine).cloned().collect();
        let samples = Rc::new(RefCell::new(Vec::new()));
        let kept = Rc::clone(&samples);
        let task = tokio::task::spawn_local(async move {
            let start = Instant::now();
            let mut ticks = time::interval(period);
            ticks.set_missed_tick_behavior(time::MissedTickBehavior::Skip);
            loop {
                ticks.tick().await;
                let at = start.elapsed();
                let loads = sample(&engines).await;
                kept.borrow_mut().push(LoadSample { at, loads });
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

async fn sample(engines: &[Vm]) -> BTreeMap<String, u32> {
    let mut calls = JoinSet::new();
    for engine in engines {
        let (name, addr) = (engine.name.to_string(), engine.addr);
        calls.spawn_local(async move { (name, statistics(addr).await) });
    }
    let mut loads = BTreeMap::new();
    while let Some(Ok((name, statistics))) = calls.join_next().await {
        if let Some(statistics) = statistics {
            loads.insert(name, statistics.load);
        }
    }
    loads
}

async fn statistics(addr: SocketAddr) -> Option<Statistics> {
    let body = Call::get(addr, "/statistics").timeout(LIMIT).send_ok().await.ok()?;
    serde_json::from_slice(&body).ok()
}

/// Reads how often each key ran, summed over the services among `vms`.
pub async fn read_runs(vms: &[Vm]) -> BTreeMap<String, u32> {
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

/// Totals of one router at one moment.
#[derive(Debug, Clone, Default)]
pub struct RouterTotals {
    /// Control bytes sent and received, by kind of message.
    pub control: BTreeMap<String, f64>,
    /// Processor time, in seconds.
    pub cpu_s: f64,
    /// Resident memory, in bytes.
    pub resident: f64,
}

/// Reads the totals of the routers whose operators' ports are `routers`.
pub async fn read_routers(routers: &[SocketAddr]) -> Vec<Option<RouterTotals>> {
    let mut totals = Vec::new();
    for &router in routers {
        let answer = Call::get(router, "/metrics").timeout(LIMIT).send_ok().await;
        totals.push(answer.ok().map(|body| parse_metrics(&String::from_utf8_lossy(&body))));
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
            *totals.control.entry(kind).or_default() += value;
        } else if name == "mimosaledge_cpu_milliseconds" {
            totals.cpu_s = value / 1e3;
        } else if name == "process_resident_memory_bytes" {
            totals.resident = value;
        }
    }
    totals
}
