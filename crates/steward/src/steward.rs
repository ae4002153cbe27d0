//! The reconciliation loop.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use mimosaledge_core::{
    Millis, Name,
    head::{ConfigState, HeadReplica},
    lease::{Action, Claim, Lease, TERM_MS},
    orders::{EngineState, LoadPacer, required_order},
};
use mimosaledge_net::{
    HttpLog, HttpVmList, Log, Meter, Vm, VmKind, VmList,
    log::{CONFIG_STREAM, LEASE_STREAM},
};
use spdlog::{info, warn};
use tokio::time;

use crate::{engines, settings::Settings};

/// Timeout of calls to the platform; short compared with the lease term.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(800);

/// Number of engines polled concurrently; an unresponsive engine delays only its
/// own batch.
const POLL_BATCH_SIZE: usize = 32;

/// A steward with its view of the log, the VM list and the lease.
pub struct Steward {
    settings: Settings,
    log: Box<dyn Log>,
    vm_list: Box<dyn VmList>,
    lease: Lease,
    /// Next offset of the lease stream to read.
    lease_offset: u64,
    head_replica: HeadReplica,
    config_state: ConfigState,
    vms: Vec<Vm>,
    pacer: Option<LoadPacer>,
    started_at: Instant,
}

impl Steward {
    /// Creates a steward; `incarnation` identifies this process in lease claims.
    pub fn new(settings: Settings, incarnation: u64) -> Steward {
        let meter = Meter::default();
        let platform = settings.platform;
        Steward {
            log: Box::new(HttpLog::new(platform, PLATFORM_TIMEOUT, meter.clone())),
            vm_list: Box::new(HttpVmList::new(platform, PLATFORM_TIMEOUT, meter)),
            lease: Lease::new(incarnation, Millis::default()),
            lease_offset: 0,
            head_replica: HeadReplica::default(),
            config_state: ConfigState::default(),
            vms: Vec::new(),
            pacer: None,
            started_at: Instant::now(),
            settings,
        }
    }

    /// Acquires or renews the lease and, while holding it, reconciles the engines.
    ///
    /// Never completes; dropping the future stops the steward.
    pub async fn run(mut self) {
        let mut ticks = time::interval(Duration::from_millis(self.settings.poll_ms));
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.read_lease().await;
            self.claim_lease().await;
            self.refresh_config_and_vms().await;
            if self.lease.fencing_token(self.now()).is_some() {
                self.reconcile().await;
            } else {
                self.pacer = None;
            }
        }
    }

    fn now(&self) -> Millis {
        Millis(self.started_at.elapsed().as_millis() as u64)
    }

    async fn read_lease(&mut self) {
        let Ok(page) = self.log.read(LEASE_STREAM, self.lease_offset).await else { return };
        // Claims may have expired from the log before this steward read them; the
        // holder is then determined from the remaining ones.
        for entry in page.records {
            self.lease_offset = entry.offset + 1;
            if let Ok(claim) = serde_json::from_str::<Claim>(&entry.body) {
                self.lease.apply_claim(entry.offset, claim, self.now());
            }
        }
    }

    /// Appends a lease claim if the lease is due to be claimed or renewed.
    async fn claim_lease(&mut self) {
        let Action::Append(claim) = self.lease.tick(self.now()) else { return };
        let Ok(body) = serde_json::to_string(&claim) else { return };
        if let Err(err) = self.log.append(LEASE_STREAM, body).await {
            warn!("steward: appending a lease claim failed: {err}");
        }
    }

    async fn refresh_config_and_vms(&mut self) {
        if let Ok(page) = self.log.read(CONFIG_STREAM, self.head_replica.next).await {
            let records = page.records.iter().map(|it| (it.offset, it.body.as_str()));
            self.head_replica.apply_page(page.first, records);
        }
        if let Some(head) = &self.head_replica.head {
            self.config_state.activate(head);
        }
        if let Ok(Some(vms)) = self.vm_list.fetch_if_changed().await {
            self.vms = vms;
        }
    }

    /// Polls every engine and sends an order to each one that does not match the
    /// configuration.
    async fn reconcile(&mut self) {
        let is_engine = |it: &&Vm| it.kind == VmKind::Engine && !it.leaving;
        let engines: Vec<Vm> = self.vms.iter().filter(is_engine).cloned().collect();
        let mut addresses = Vec::with_capacity(engines.len());
        let mut states = Vec::with_capacity(engines.len());
        for batch in engines.chunks(POLL_BATCH_SIZE) {
            for (name, addr, state) in engines::fetch_states(batch).await {
                addresses.push(addr);
                states.push((name, state));
            }
        }
        let now = self.now();
        self.pacer(now).observe(&states, now);
        for ((name, state), addr) in states.iter().zip(addresses) {
            self.reconcile_engine(name, addr, state).await;
        }
    }

    async fn reconcile_engine(&mut self, name: &Name, addr: SocketAddr, state: &EngineState) {
        let Some(active) = self.config_state.active().cloned() else { return };
        // The lease may have expired since the start of the round, because an engine
        // responded slowly or this process was paused.
        let now = self.now();
        let Some(fencing_token) = self.lease.fencing_token(now) else { return };
        let Some(order) = required_order(&active.config, name, state, fencing_token) else {
            return;
        };
        if !self.pacer(now).try_start(name, &order, now) {
            return;
        }
        info!("steward: ordering {name} to load {} version {}", order.model, order.version);
        if let Err(err) = engines::send_order(addr, &order).await {
            warn!("steward: order to {name} was not acknowledged: {err}");
        }
    }

    /// Returns the pacer of this holder of the lease.
    fn pacer(&mut self, now: Millis) -> &mut LoadPacer {
        let rate = self.settings.weight_mib_per_s;
        // The previous holder may have ordered a load just before its lease
        // expired, so a new holder waits for one lease term before its first load.
        self.pacer.get_or_insert_with(|| LoadPacer::new(rate, now + TERM_MS))
    }
}
