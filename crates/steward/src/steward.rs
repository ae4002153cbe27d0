use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use mimosaledge_core::{
    Millis, Name,
    head::{ConfigState, HeadReplica},
    lease::{Action, Claim, Lease, TERM_MS},
    orders::{EngineState, LoadPacer, missing_order},
};
use mimosaledge_net::{
    HttpLog, HttpVmList, Log, Meter, Vm, VmKind, VmList,
    log::{CONFIG_STREAM, LEASE_STREAM},
};
use spdlog::{info, warn};
use tokio::time;

use crate::{engines, settings::Settings};

/// Longest wait for an answer of the platform; short beside the lease's term.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(800);

/// Engines looked at together; a silent one holds up only its own group.
const LOOKS_AT_ONCE: usize = 32;

/// One steward: its view of the log and its place in the lease.
pub struct Steward {
    settings: Settings,
    log: Box<dyn Log>,
    list: Box<dyn VmList>,
    lease: Lease,
    lease_next: u64,
    fold: HeadReplica,
    in_force: ConfigState,
    vms: Vec<Vm>,
    pacer: Option<LoadPacer>,
    start: Instant,
}

impl Steward {
    /// Creates a steward with the incarnation of its process.
    pub fn new(settings: Settings, incarnation: u64) -> Steward {
        let meter = Meter::default();
        let platform = settings.platform;
        Steward {
            log: Box::new(HttpLog::new(platform, PLATFORM_TIMEOUT, meter.clone())),
            list: Box::new(HttpVmList::new(platform, PLATFORM_TIMEOUT, meter)),
            lease: Lease::new(incarnation, Millis::default()),
            lease_next: 0,
            fold: HeadReplica::default(),
            in_force: ConfigState::default(),
            vms: Vec::new(),
            pacer: None,
            start: Instant::now(),
            settings,
        }
    }

    /// Claims the lease and gives orders until it is dropped.
    pub async fn run(mut self) {
        let mut ticks = time::interval(Duration::from_millis(self.settings.look_ms));
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.read_lease().await;
            self.claim().await;
            self.read_config().await;
            if self.lease.fencing_token(self.now()).is_some() {
                self.reconcile().await;
            } else {
                self.pacer = None;
            }
        }
    }

    fn now(&self) -> Millis {
        Millis(self.start.elapsed().as_millis() as u64)
    }

    async fn read_lease(&mut self) {
        let Ok(page) = self.log.read(LEASE_STREAM, self.lease_next).await else { return };
        // A log that has forgotten records cannot show who claimed meanwhile;
        // the claims that follow do.
        for entry in page.records {
            self.lease_next = entry.offset + 1;
            if let Ok(claim) = serde_json::from_str::<Claim>(&entry.body) {
                self.lease.apply_claim(entry.offset, claim, self.now());
            }
        }
    }

    async fn claim(&mut self) {
        let Action::Append(claim) = self.lease.tick(self.now()) else { return };
        let Ok(body) = serde_json::to_string(&claim) else { return };
        if let Err(err) = self.log.append(LEASE_STREAM, body).await {
            warn!("steward: claiming the lease failed: {err}");
        }
    }

    async fn read_config(&mut self) {
        if let Ok(page) = self.log.read(CONFIG_STREAM, self.fold.next).await {
            let records = page.records.iter().map(|it| (it.offset, it.body.as_str()));
            self.fold.apply_page(page.first, records);
        }
        if let Some(head) = &self.fold.head {
            self.in_force.activate(head);
        }
        if let Ok(Some(vms)) = self.list.changes().await {
            self.vms = vms;
        }
    }

    /// Looks at every engine and orders what is missing.
    async fn reconcile(&mut self) {
        let is_engine = |it: &&Vm| it.kind == VmKind::Engine && !it.leaving;
        let engines: Vec<Vm> = self.vms.iter().filter(is_engine).cloned().collect();
        for group in engines.chunks(LOOKS_AT_ONCE) {
            for (name, addr, state) in engines::observe_all(group).await {
                self.reconcile_engine(&name, addr, &state).await;
            }
        }
    }

    async fn reconcile_engine(&mut self, name: &Name, addr: SocketAddr, state: &EngineState) {
        let Some(active) = self.in_force.active().cloned() else { return };
        // Every order is preceded by a look at the clock: the answer above may
        // have taken long, or this process may have been paused.
        let Some(fence) = self.lease.fencing_token(self.now()) else { return };
        let Some(order) = missing_order(&active.config, name, state, fence) else { return };
        let weight = active.config.models[&order.model].weight_mib;
        if !self.pace(weight) {
            return;
        }
        info!("steward: order {name} to load {} version {}", order.model, order.version);
        if let Err(err) = engines::give(addr, &order).await {
            warn!("steward: order to {name} has no good answer: {err}");
        }
    }

    /// Returns whether the weight store may be asked for one more load.
    fn pace(&mut self, weight_mib: u64) -> bool {
        let now = self.now();
        let rate = self.settings.weight_mib_per_s;
        // The last holder may have ordered a load just before its term ended.
        let pacer = self.pacer.get_or_insert_with(|| LoadPacer::new(rate, now + TERM_MS));
        pacer.try_start(weight_mib, now)
    }
}
