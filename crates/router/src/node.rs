//! The state and sockets that all tasks of a router share.

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
    gossip::{self, GossipQueue},
    loads::{self, KnownLoads},
    metrics::Metrics,
    ops, peer,
    pending::PendingRequests,
    probe,
    settings::Settings,
};

/// Timeout of a request to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// The bound sockets of a router.
#[derive(Debug)]
pub struct Sockets {
    /// Listener for client requests.
    pub http: TcpListener,
    /// Socket for datagrams between routers.
    pub peer: UdpSocket,
    /// Listener for state transfers, on the same port as `peer`.
    pub transfers: TcpListener,
    /// Listener for operators.
    pub ops: TcpListener,
}

impl Sockets {
    /// Binds the addresses in `settings`.
    ///
    /// # Errors
    ///
    /// Returns an error if an address is in use or does not belong to this machine.
    pub async fn bind(settings: &Settings) -> Result<Sockets> {
        let context = |port: &str| format!("cannot listen on the {port} port");
        Ok(Sockets {
            http: TcpListener::bind(settings.http).await.wrap_err_with(|| context("client"))?,
            peer: UdpSocket::bind(settings.peer).await.wrap_err_with(|| context("peer"))?,
            transfers: TcpListener::bind(settings.peer).await.wrap_err_with(|| context("peer"))?,
            ops: TcpListener::bind(settings.ops).await.wrap_err_with(|| context("operator"))?,
        })
    }
}

/// The state from which a router makes its decisions, without I/O: mostly state
/// machines of `mimosaledge-core`.
#[derive(Debug)]
pub(crate) struct RouterState {
    pub(crate) members: Members,
    pub(crate) endpoints: Endpoints,
    pub(crate) gossip_queue: GossipQueue,
    pub(crate) loads: KnownLoads,
    pub(crate) policy: Box<dyn Policy>,
    /// Admission controllers of the engines whose admission home this router is, or
    /// was until recently.
    pub(crate) controllers: HashMap<EndpointId, AdmissionController>,
    /// Idempotency keys whose home is this router.
    pub(crate) key_home: KeyHome,
    /// Idempotency keys whose witness is this router.
    pub(crate) key_witness: KeyWitness,
    pub(crate) quarantine: Quarantine,
    pub(crate) retry_budget: RetryBudget,
    /// Accepted configuration head and position in the log.
    pub(crate) head_replica: HeadReplica,
    /// Active configuration, parsed from the accepted head.
    pub(crate) config_state: ConfigState,
    /// Log offset of the newest known snapshot.
    pub(crate) newest_snapshot: Option<u64>,
    /// State of this process, as in `charts/router.yaml`.
    pub(crate) lifecycle: StateMachine,
}

/// A router: its state, its connections and the requests to peers that wait for
/// replies.
pub struct Node {
    pub(crate) settings: Settings,
    /// Identity of this run of the router.
    pub(crate) own: RouterRef,
    pub(crate) state: RefCell<RouterState>,
    pub(crate) socket: UdpSocket,
    pub(crate) log: Box<dyn Log>,
    pub(crate) vm_list: Box<dyn VmList>,
    /// Connections to endpoints.
    pub(crate) upstream: Pool,
    pub(crate) metrics: Metrics,
    pub(crate) platform_meter: Meter,
    pub(crate) probe_meter: Meter,
    /// Admission requests that wait for replies from admission homes.
    pub(crate) admission_replies: PendingRequests<AdmissionId, Decision>,
    /// Requests to note a key that wait for replies from witnesses.
    pub(crate) note_replies: PendingRequests<KeyId, NoteReply>,
    /// Requests to seal a key that wait for replies from witnesses.
    pub(crate) seal_replies: PendingRequests<KeyId, SealReply>,
    /// Outcomes of keys that wait for acknowledgements from witnesses.
    pub(crate) finish_acks: PendingRequests<KeyId, ()>,
    pub(crate) open_requests: Cell<u64>,
    /// Requests that this router has in flight on each endpoint.
    pub(crate) in_flight: crashes::InFlightRequests,
    /// Notified when a graceful shutdown begins.
    pub(crate) shutdown_begun: Notify,
    /// Notified when gossip shows that a peer has a newer head.
    pub(crate) peer_ahead: Notify,
    serial: Cell<u32>,
    started_at: Instant,
}

impl Node {
    /// Creates a router that uses `socket` for datagrams to its peers.
    ///
    /// # Errors
    ///
    /// Returns an error if an embedded state chart is invalid or a metric cannot
    /// be registered.
    pub fn new(settings: Settings, socket: UdpSocket) -> Result<Rc<Node>> {
        let own =
            RouterRef { id: hash32(settings.name.as_bytes()), incarnation: generate_incarnation() };
        let platform_meter = Meter::default();
        let platform = settings.platform;
        let node = Node {
            own,
            state: RefCell::new(RouterState::new(&settings, own)?),
            socket,
            log: Box::new(HttpLog::new(platform, PLATFORM_TIMEOUT, platform_meter.clone())),
            vm_list: Box::new(HttpVmList::new(platform, PLATFORM_TIMEOUT, platform_meter.clone())),
            upstream: Pool::new(Duration::from_millis(settings.limits.connect_ms)),
            metrics: Metrics::new().wrap_err("cannot register metrics")?,
            platform_meter,
            probe_meter: Meter::default(),
            admission_replies: PendingRequests::default(),
            note_replies: PendingRequests::default(),
            seal_replies: PendingRequests::default(),
            finish_acks: PendingRequests::default(),
            open_requests: Cell::new(0),
            in_flight: crashes::InFlightRequests::default(),
            shutdown_begun: Notify::new(),
            peer_ahead: Notify::new(),
            serial: Cell::new(0),
            started_at: Instant::now(),
            settings,
        };
        Ok(Rc::new(node))
    }

    /// Serves until a graceful shutdown has completed.
    ///
    /// Dropping the returned future stops the router at once, like a crash.
    pub async fn run(self: Rc<Node>, http: TcpListener, transfers: TcpListener, ops: TcpListener) {
        let mut tasks = JoinSet::new();
        tasks.spawn_local(peer::receive(Rc::clone(&self)));
        tasks.spawn_local(peer::serve_transfers(Rc::clone(&self), transfers));
        tasks.spawn_local(gossip::run(Rc::clone(&self)));
        tasks.spawn_local(loads::run(Rc::clone(&self)));
        tasks.spawn_local(probe::run(Rc::clone(&self)));
        tasks.spawn_local(follow::follow_log(Rc::clone(&self)));
        tasks.spawn_local(follow::follow_vm_list(Rc::clone(&self)));
        tasks.spawn_local(follow::sync_with_peers(Rc::clone(&self)));
        tasks.spawn_local(ops::serve(Rc::clone(&self), ops));
        tasks.spawn_local(api::serve(Rc::clone(&self), http));
        drain::run(self).await;
    }

    /// Returns the time since the router started.
    pub(crate) fn now(&self) -> Millis {
        Millis(self.started_at.elapsed().as_millis() as u64)
    }

    /// Returns a serial number that is unique within this process until the
    /// counter wraps around.
    pub(crate) fn next_serial(&self) -> u32 {
        self.serial.set(self.serial.get().wrapping_add(1));
        self.serial.get()
    }

    /// Returns the active configuration, if any.
    pub(crate) fn active(&self) -> Option<ActiveConfig> {
        self.state.borrow().config_state.active().cloned()
    }

    /// Returns whether requests are accepted: from the time that the router is ready
    /// until a graceful shutdown has drained the open requests.
    pub(crate) fn accepts_requests(&self) -> bool {
        matches!(self.state.borrow().lifecycle.state(), "serving" | "draining")
    }

    /// Returns the lifecycle phase to announce to other routers.
    pub(crate) fn phase(&self) -> Phase {
        match self.state.borrow().lifecycle.state() {
            "starting" => Phase::Starting,
            "serving" => Phase::Serving,
            _ => Phase::Draining,
        }
    }
}

impl RouterState {
    fn new(settings: &Settings, own: RouterRef) -> Result<RouterState> {
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
        let chart_error = |err| eyre!("invalid state chart: {err}");
        let lifecycle = Chart::from_yaml(include_str!("../../core/charts/router.yaml"));
        let key_home = KeyHome::new(own, limits.keys, limits.kept_bytes);
        Ok(RouterState {
            members: Members::new(heartbeat, Millis::default()),
            endpoints: Endpoints::new().map_err(chart_error)?,
            gossip_queue: GossipQueue::default(),
            loads: KnownLoads::default(),
            policy: settings.policy.build(own.incarnation, BASELINE_LOAD_BOUND),
            controllers: HashMap::new(),
            key_home: key_home.map_err(chart_error)?,
            key_witness: KeyWitness::new(own, limits.keys),
            quarantine: Quarantine::default(),
            retry_budget: RetryBudget::default(),
            head_replica: HeadReplica::default(),
            config_state: ConfigState::default(),
            newest_snapshot: None,
            lifecycle: Rc::new(lifecycle.map_err(chart_error)?).start(),
        })
    }
}

/// Load bound of the baseline policy `BoundedReport`, as a multiple of the mean
/// load.
const BASELINE_LOAD_BOUND: f64 = 1.25;

/// Returns the parameters of the active preset.
pub(crate) fn preset(active: &ActiveConfig) -> &Preset {
    Config::preset(&active.config, active.preset)
}
