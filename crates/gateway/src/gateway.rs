//! State shared by the background tasks and the request path of one gateway.

use std::{
    cell::{Cell, OnceCell, RefCell},
    collections::{BTreeMap, HashMap},
    rc::Rc,
};

use mimosaledge_core::{Millis, Name, quarantine::Quarantine};
use mimosaledge_peer::{ChangeBatch, Rejections, StateSummary};
use mimosaledge_policy::{
    EndpointGroup, FleetConfig, Position, Reach,
    builds::Builds,
    config::RouteTable,
    crashing_parts::CrashingParts,
    endpoints::Endpoints,
    evacuations::{DataCentre, Evacuations},
    history::History,
    origin_search::OriginSearch,
    prefix_cache::CachedPrefixes,
    retry_budget::RetryBudget,
    stream_origins::{StreamOrigin, StreamOrigins},
    work_times::WorkTimes,
};
use tokio::{
    net::UdpSocket,
    sync::{Notify, watch},
};

use crate::{
    clock::Clock,
    dialect::Dialect,
    drain::Drain,
    endpoint_table::EndpointTable,
    fairness_table::FairnessTable,
    forward_table::ForwardTable,
    loads::Loads,
    memory::Memory,
    memory_report::MemoryReport,
    metrics::Metrics,
    peers::Peers,
    permit_table::PermitTable,
    settings::{Bounds, Settings},
    store::Store,
    warmup,
    warmup_news::WarmupNews,
};

/// Time without confirmation by the store or a peer after which the
/// configuration may be stale, in milliseconds.
const CONFIG_STALE_MS: u64 = 2_500;

/// Time between two maintenance runs that indicates a stall, in milliseconds; shorter than
/// the time after which other gateways take over what this one does for all.
pub(crate) const STALL_THRESHOLD_MS: u64 = 1_200;

/// Time for which the crash of an endpoint counts against the requests that
/// were in flight there, in milliseconds.
const CRASH_RETENTION_MS: u64 = 120_000;

/// State of one gateway process.
pub(crate) struct Gateway {
    pub(crate) settings: Settings,
    /// The current bounds; a reload can change them.
    pub(crate) bounds: Cell<Bounds>,
    pub(crate) clock: Clock,
    pub(crate) dialect: Box<dyn Dialect>,
    pub(crate) store: Box<dyn Store>,
    pub(crate) drain: Drain,
    pub(crate) metrics: Metrics,
    /// The active configuration, as sent to other gateways.
    pub(crate) config: RefCell<Option<Rc<FleetConfig>>>,
    /// The active configuration, indexed for lookups.
    pub(crate) routes: RefCell<Rc<RouteTable>>,
    /// The endpoint list, as read from the store or received from a peer.
    pub(crate) endpoints: RefCell<Endpoints>,
    /// Data centres whose endpoints get no requests.
    pub(crate) evacuations: RefCell<Evacuations>,
    /// Names of those that the store has named to this gateway.
    pub(crate) evacuation_names: RefCell<HashMap<DataCentre, Name>>,
    /// Connections, load and health of the listed endpoints.
    pub(crate) endpoint_table: RefCell<EndpointTable>,
    pub(crate) retry_budget: RefCell<RetryBudget>,
    /// Requests that may have crashed endpoints, by fingerprint; a crash is
    /// identified by the node number of the endpoint's incarnation.
    pub(crate) quarantine: RefCell<Quarantine<u64>>,
    /// Prompt parts that may have crashed endpoints.
    pub(crate) crashing_parts: RefCell<CrashingParts>,
    /// Times that requests take, by route.
    pub(crate) work_times: RefCell<WorkTimes>,
    /// What is held for clients.
    pub(crate) memory: Rc<Memory>,
    pub(crate) memory_report: MemoryReport,
    pub(crate) cached_prefixes: RefCell<CachedPrefixes>,
    /// Builds that endpoints have had lately.
    pub(crate) builds: RefCell<Builds>,
    /// Builds that began the latest streams, here and at some other gateways.
    pub(crate) stream_origins: RefCell<StreamOrigins>,
    /// Origins of streams that began while no other gateway was known.
    pub(crate) unsent_origins: RefCell<Vec<StreamOrigin>>,
    /// Origins of streams that only the first holders have been told of.
    pub(crate) uncopied_origins: RefCell<Vec<StreamOrigin>>,
    /// Searches for the origins of streams, by the hash of the attempt that began each.
    pub(crate) origin_searches: RefCell<HashMap<u64, OriginSearch>>,
    /// Notified when another gateway has sent the origin of a stream, or does not know it.
    pub(crate) origin_received: Notify,
    pub(crate) forward_table: RefCell<ForwardTable>,
    /// When this gateway last checked which endpoints of a service it reaches.
    pub(crate) reach_checked: RefCell<HashMap<Name, Millis>>,
    /// Services and builds that this gateway reaches no endpoint of, as last logged.
    pub(crate) unreached: RefCell<BTreeMap<EndpointGroup, Reach>>,
    pub(crate) loads: Rc<RefCell<Loads>>,
    pub(crate) peers: RefCell<Peers>,
    pub(crate) permit_table: RefCell<PermitTable>,
    /// Cold endpoints that others are to be told of, and those that they have told of.
    pub(crate) warmup_news: Rc<WarmupNews>,
    pub(crate) fairness: RefCell<FairnessTable>,
    /// When the configuration was last known to be current.
    pub(crate) config_confirmed: Cell<Millis>,
    /// When the endpoint list was last known to be current.
    pub(crate) list_confirmed: Cell<Millis>,
    /// When this gateway last started to read changes of the list from the store, of a read
    /// that has reached the end.
    pub(crate) list_read: Cell<Option<Millis>>,
    /// Whether this gateway has to read the list although others confirm it.
    pub(crate) list_wanted: Cell<bool>,
    /// Digest of the endpoint list.
    pub(crate) list_digest: Cell<u64>,
    /// Latest known era of the store; a rise invalidates pending long polls.
    pub(crate) era: watch::Sender<u64>,
    /// Whether peers must be sent a summary at once, since the store was restored or
    /// regained with a newer configuration.
    pub(crate) has_unsent_summary: Cell<bool>,
    /// Notified to abort the pending long poll and read the configuration
    /// again.
    pub(crate) config_reread: Notify,
    /// Changes of the endpoint list that peers have not been sent yet.
    pub(crate) unsent_changes: RefCell<ChangeBatch>,
    /// Changes that led to the endpoint list, for gateways with an older one.
    pub(crate) history: RefCell<History>,
    pub(crate) peer_socket: OnceCell<Rc<UdpSocket>>,
    /// Gateways whose datagrams could not be decoded.
    pub(crate) rejections: RefCell<Rejections>,
    /// When the last maintenance began.
    pub(crate) maintained_at: Cell<Millis>,
}

impl Gateway {
    /// Creates a gateway without configuration or endpoints.
    pub(crate) fn new(
        settings: Settings,
        dialect: Box<dyn Dialect>,
        store: Box<dyn Store>,
        metrics: Metrics,
    ) -> Gateway {
        let clock = Clock::start();
        let limit = settings.to_retry_limit();
        let retry_budget = match settings.first_start {
            true => RetryBudget::new(limit),
            false => RetryBudget::after_restart(limit, clock.now()),
        };
        let limits = settings.memory_limits();
        let bounds = Cell::new(settings.bounds);
        let builds = RefCell::new(Builds::new(settings.first_start));
        let peers = Peers::new(&settings, clock.now());
        let permit_table = PermitTable::new(settings.address, clock.now());
        Gateway {
            settings,
            bounds,
            clock,
            dialect,
            store,
            drain: Drain::default(),
            metrics,
            config: RefCell::default(),
            routes: RefCell::default(),
            endpoints: RefCell::default(),
            evacuations: RefCell::default(),
            evacuation_names: RefCell::default(),
            endpoint_table: RefCell::default(),
            retry_budget: RefCell::new(retry_budget),
            quarantine: RefCell::new(Quarantine::with_retention(CRASH_RETENTION_MS)),
            crashing_parts: RefCell::default(),
            work_times: RefCell::default(),
            memory: Rc::new(Memory::new(limits, clock)),
            memory_report: MemoryReport::default(),
            cached_prefixes: RefCell::default(),
            builds,
            stream_origins: RefCell::default(),
            unsent_origins: RefCell::default(),
            uncopied_origins: RefCell::default(),
            origin_searches: RefCell::default(),
            origin_received: Notify::new(),
            forward_table: RefCell::default(),
            reach_checked: RefCell::default(),
            unreached: RefCell::default(),
            loads: Rc::default(),
            peers: RefCell::new(peers),
            permit_table: RefCell::new(permit_table),
            warmup_news: Rc::default(),
            fairness: RefCell::default(),
            config_confirmed: Cell::new(Millis(0)),
            list_confirmed: Cell::new(Millis(0)),
            list_read: Cell::default(),
            list_wanted: Cell::default(),
            list_digest: Cell::new(0),
            era: watch::Sender::new(0),
            has_unsent_summary: Cell::new(false),
            config_reread: Notify::new(),
            unsent_changes: RefCell::default(),
            history: RefCell::default(),
            peer_socket: OnceCell::new(),
            rejections: RefCell::default(),
            maintained_at: Cell::new(clock.now()),
        }
    }

    /// Applies the settings that take effect without a restart: the bounds and
    /// additional seeds.
    pub(crate) fn reload(&self, settings: &Settings) {
        self.bounds.set(settings.bounds);
        self.retry_budget.borrow_mut().set_limit(settings.to_retry_limit());
        let mut peers = self.peers.borrow_mut();
        for seed in settings.seeds.iter().flatten() {
            peers.add(*seed.ip(), self.now());
        }
    }

    /// Returns whether the event loop was held up, as when the process was paused, and what it
    /// believes of other gateways may be out of date.
    pub(crate) fn is_stalled(&self) -> bool {
        self.now().since(self.maintained_at.get()) >= STALL_THRESHOLD_MS
    }

    /// Returns the current time.
    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Returns the version of the active configuration, or 0 if there is none.
    pub(crate) fn config_version(&self) -> u64 {
        self.routes.borrow().version()
    }

    /// Returns whether the gateway can serve requests.
    pub(crate) fn is_ready(&self) -> bool {
        !self.drain.is_stopping()
            && self.config_version() > 0
            && self.endpoints.borrow().any_ready()
    }

    /// Returns whether this gateway cannot say that it reaches any of the endpoints that accept
    /// requests.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.endpoint_table.borrow().count_ready().is_unproven()
    }

    /// Returns whether the store or a peer has confirmed the configuration
    /// in the last [`CONFIG_STALE_MS`] milliseconds, and no live peer has a newer one.
    pub(crate) fn is_config_fresh(&self) -> bool {
        let newer_peer = || self.peers.borrow().find_newer(self.state_summary(), false, self.now());
        self.config_age_ms() < CONFIG_STALE_MS && newer_peer().is_none()
    }

    /// Records that the configuration was current at `time`.
    pub(crate) fn confirm_config(&self, time: Millis) {
        self.config_confirmed.set(self.config_confirmed.get().max(time));
    }

    /// Returns the time since the configuration was last known to be current, in
    /// milliseconds.
    pub(crate) fn config_age_ms(&self) -> u64 {
        self.now().since(self.config_confirmed.get())
    }

    /// Activates a configuration if it is newer than the active one.
    pub(crate) fn apply_config(&self, config: FleetConfig, source: &str) {
        if config.version <= self.config_version() {
            return;
        }
        spdlog::info!(
            "config: version={} before={} routes={} source={source}",
            config.version,
            self.config_version(),
            config.routes.len()
        );
        self.work_times.borrow_mut().retain(&config.routes);
        self.fairness.borrow_mut().usual_deadlines.retain(&config.routes);
        *self.routes.borrow_mut() = Rc::new(RouteTable::from_config(&config));
        *self.config.borrow_mut() = Some(Rc::new(config));
        warmup::update_paces(self);
    }

    /// Returns the latest known era of the store.
    pub(crate) fn era(&self) -> u64 {
        *self.era.borrow()
    }

    /// Records the era that the store or a peer has reported.
    pub(crate) fn observe_era(&self, era: u64, source: &str) {
        let before = self.era();
        if era <= before {
            return;
        }
        self.era.send_replace(era);
        spdlog::info!("store: era={era} before={before} source={source}");
        // A gateway that starts has only learned the era that the others know.
        if self.endpoints.borrow().position() != Position::default() {
            self.has_unsent_summary.set(true);
        }
    }

    /// Returns a summary of the configuration and endpoint list, for comparison
    /// with those of peers.
    pub(crate) fn state_summary(&self) -> StateSummary {
        StateSummary {
            version: self.config_version(),
            era: self.era(),
            position: self.endpoints.borrow().position(),
            digest: self.list_digest.get(),
            list_age_ms: self.list_age_ms(),
            config_age_ms: self.config_age_ms(),
        }
    }

    /// Applies a peer's summary: the same version confirms the configuration as far as
    /// the peer has, and the same digest the endpoint list.
    pub(crate) fn apply_summary(&self, summary: &StateSummary) {
        self.observe_era(summary.era, "peer");
        if summary.version == self.config_version() {
            self.confirm_config(self.now() - summary.config_age_ms);
        }
        if summary.digest == self.list_digest.get() {
            self.confirm_list(summary.list_age_ms);
            self.endpoints.borrow_mut().confirm_at(summary.position);
        }
    }

    /// Returns the number of gateways that share the retry budget: also those that are not
    /// heard of, since they may be alive and take their part.
    pub(crate) fn count_budget_shares(&self) -> usize {
        self.peers.borrow().known_count() + 1
    }

    /// Returns the number of live gateways, including this one.
    pub(crate) fn count_gateways(&self) -> usize {
        self.peers.borrow().count_alive(self.now()) + 1
    }
}
