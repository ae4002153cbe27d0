use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use eyre::{Result, WrapErr, eyre};
use mimosaledge_core::{
    Millis,
    admission::{AdmissionController, AdmissionId, Decision},
    chart::{Chart, StateMachine},
    config::{Config, Preset},
    endpoints::{EndpointId, Endpoints},
    hash::hash32,
    head::{ActiveConfig, ConfigState, HeadReplica},
    idempotency::{KeyHome, KeyId, KeyWitness, NoteReply, SealReply},
    members::{Heartbeat, Members, Phase, RouterRef, hash_data_centre},
    placement::Policy,
    quarantine::Quarantine,
    retry_budget::RetryBudget,
};
use mimosaledge_net::{
    HttpLog, HttpVmList, Log, Meter, VmList, incarnation::generate_incarnation, pool::Pool,
};
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::Notify,
    task::JoinSet,
};

use crate::{
    api, crashes, drain, follow,
    gossip::{self, Digest},
    loads::{self, KnownLoads},
    metrics::Metrics,
    ops, peer,
    pending::Pending,
    probe,
    settings::Settings,
};

/// Longest wait for an answer of the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// The bound sockets of a router.
#[derive(Debug)]
pub struct Sockets {
    /// Callers' port.
    pub http: TcpListener,
    /// Peer port for datagrams.
    pub peer: UdpSocket,
    /// Peer port for transfers.
    pub transfers: TcpListener,
    /// Operators' port.
    pub ops: TcpListener,
}

impl Sockets {
    /// Binds the sockets that `settings` names.
    ///
    /// # Errors
    ///
    /// Returns an error if an address is taken or not of this machine.
    pub async fn bind(settings: &Settings) -> Result<Sockets> {
        let cannot = |what: &str| format!("cannot listen on the {what} port");
        Ok(Sockets {
            http: TcpListener::bind(settings.http).await.wrap_err_with(|| cannot("callers'"))?,
            peer: UdpSocket::bind(settings.peer).await.wrap_err_with(|| cannot("peer"))?,
            transfers: TcpListener::bind(settings.peer).await.wrap_err_with(|| cannot("peer"))?,
            ops: TcpListener::bind(settings.ops).await.wrap_err_with(|| cannot("operators'"))?,
        })
    }
}

/// The decision cores of a router.
#[derive(Debug)]
pub(crate) struct Cores {
    pub(crate) members: Members,
    pub(crate) endpoints: Endpoints,
    pub(crate) digest: Digest,
    pub(crate) loads: KnownLoads,
    pub(crate) policy: Box<dyn Policy>,
    pub(crate) gates: HashMap<EndpointId, AdmissionController>,
    pub(crate) home: KeyHome,
    pub(crate) witness: KeyWitness,
    pub(crate) quarantine: Quarantine,
    pub(crate) budget: RetryBudget,
    pub(crate) fold: HeadReplica,
    pub(crate) in_force: ConfigState,
    pub(crate) newest_snapshot: Option<u64>,
    pub(crate) life: StateMachine,
}

/// One router: its cores, its sockets and the answers that it waits for.
pub struct Node {
    pub(crate) settings: Settings,
    pub(crate) own: RouterRef,
    pub(crate) cores: RefCell<Cores>,
    pub(crate) socket: UdpSocket,
    pub(crate) log: Box<dyn Log>,
    pub(crate) list: Box<dyn VmList>,
    pub(crate) upstream: Pool,
    pub(crate) metrics: Metrics,
    pub(crate) platform_meter: Meter,
    pub(crate) probe_meter: Meter,
    pub(crate) verdicts: Pending<AdmissionId, Decision>,
    pub(crate) notes: Pending<KeyId, NoteReply>,
    pub(crate) seals: Pending<KeyId, SealReply>,
    pub(crate) finishes: Pending<KeyId, ()>,
    pub(crate) open_requests: Cell<u64>,
    pub(crate) in_flight: crashes::InFlightRequests,
    pub(crate) stop: Notify,
    pub(crate) changed: Notify,
    serial: Cell<u32>,
    start: Instant,
}

impl Node {
    /// Creates a router on its bound peer socket.
    ///
    /// # Errors
    ///
    /// Returns an error if an embedded state chart is broken or a metric
    /// cannot be registered.
    pub fn new(settings: Settings, socket: UdpSocket) -> Result<Rc<Node>> {
        let own =
            RouterRef { id: hash32(settings.name.as_bytes()), incarnation: generate_incarnation() };
        let platform_meter = Meter::default();
        let platform = settings.platform;
        let node = Node {
            own,
            cores: RefCell::new(Cores::new(&settings, own)?),
            socket,
            log: Box::new(HttpLog::new(platform, PLATFORM_TIMEOUT, platform_meter.clone())),
            list: Box::new(HttpVmList::new(platform, PLATFORM_TIMEOUT, platform_meter.clone())),
            upstream: Pool::new(Duration::from_millis(settings.limits.connect_ms)),
            metrics: Metrics::new().wrap_err("cannot register metrics")?,
            platform_meter,
            probe_meter: Meter::default(),
            verdicts: Pending::default(),
            notes: Pending::default(),
            seals: Pending::default(),
            finishes: Pending::default(),
            open_requests: Cell::new(0),
            in_flight: crashes::InFlightRequests::default(),
            stop: Notify::new(),
            changed: Notify::new(),
            serial: Cell::new(0),
            start: Instant::now(),
            settings,
        };
        Ok(Rc::new(node))
    }

    /// Serves until a planned stop has completed.
    ///
    /// Dropping the returned future ends the router at once, as a crash would.
    pub async fn run(self: Rc<Node>, http: TcpListener, transfers: TcpListener, ops: TcpListener) {
        let mut loops = JoinSet::new();
        loops.spawn_local(peer::receive(Rc::clone(&self)));
        loops.spawn_local(peer::serve_transfers(Rc::clone(&self), transfers));
        loops.spawn_local(gossip::run(Rc::clone(&self)));
        loops.spawn_local(loads::run(Rc::clone(&self)));
        loops.spawn_local(probe::run(Rc::clone(&self)));
        loops.spawn_local(follow::follow_log(Rc::clone(&self)));
        loops.spawn_local(follow::follow_list(Rc::clone(&self)));
        loops.spawn_local(follow::follow_peers(Rc::clone(&self)));
        loops.spawn_local(ops::serve(Rc::clone(&self), ops));
        loops.spawn_local(api::serve(Rc::clone(&self), http));
        drain::run(self).await;
    }

    /// Returns the time since the router started.
    pub(crate) fn now(&self) -> Millis {
        Millis(self.start.elapsed().as_millis() as u64)
    }

    /// Returns a number that this router has not returned before.
    pub(crate) fn next_serial(&self) -> u32 {
        self.serial.set(self.serial.get().wrapping_add(1));
        self.serial.get()
    }

    /// Returns the configuration in force.
    pub(crate) fn active(&self) -> Option<ActiveConfig> {
        self.cores.borrow().in_force.active().cloned()
    }

    /// Returns whether requests are read: from the time that the router is ready
    /// until a planned stop has finished all of them.
    pub(crate) fn reads_requests(&self) -> bool {
        matches!(self.cores.borrow().life.state(), "serving" | "draining")
    }

    /// Returns how far the router is in its life.
    pub(crate) fn phase(&self) -> Phase {
        match self.cores.borrow().life.state() {
            "starting" => Phase::Starting,
            "serving" => Phase::Serving,
            _ => Phase::Draining,
        }
    }
}

impl Cores {
    fn new(settings: &Settings, own: RouterRef) -> Result<Cores> {
        let limits = &settings.limits;
        let heartbeat = Heartbeat {
            router: own,
            sequence: 0,
            http: settings.http,
            peer: settings.peer,
            data_centre: hash_data_centre(&settings.data_centre),
            phase: Phase::Starting,
            head: 0,
        };
        let chart_error = |err| eyre!("broken state chart: {err}");
        let life = Chart::from_yaml(include_str!("../../core/charts/router.yaml"));
        let home = KeyHome::new(own, limits.keys, limits.kept_bytes);
        Ok(Cores {
            members: Members::new(heartbeat, Millis::default()),
            endpoints: Endpoints::new().map_err(chart_error)?,
            digest: Digest::default(),
            loads: KnownLoads::default(),
            policy: settings.policy.build(own.incarnation, DEFAULT_BOUND),
            gates: HashMap::new(),
            home: home.map_err(chart_error)?,
            witness: KeyWitness::new(own, limits.keys),
            quarantine: Quarantine::default(),
            budget: RetryBudget::default(),
            fold: HeadReplica::default(),
            in_force: ConfigState::default(),
            newest_snapshot: None,
            life: Rc::new(life.map_err(chart_error)?).start(),
        })
    }
}

/// Load bound that baseline policies use.
const DEFAULT_BOUND: f64 = 1.25;

/// Returns the settings of the preset in force.
pub(crate) fn preset(active: &ActiveConfig) -> &Preset {
    Config::preset(&active.config, active.preset)
}
