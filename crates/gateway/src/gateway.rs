//! What the tasks of one gateway share.

use std::{
    cell::{Cell, OnceCell, RefCell},
    rc::Rc,
};

use mimosaledge_core::{Millis, Name, quarantine::Quarantine};
use mimosaledge_policy::{
    Endpoint, FleetConfig,
    config::RouteTable,
    endpoints::{Change, Endpoints},
    history::History,
    prefix_cache::CachedPrefixes,
    retry_budget::RetryBudget,
};
use tokio::{net::UdpSocket, sync::Notify};

use crate::{
    clock::Clock,
    dialect::Dialect,
    drain::Drain,
    fleet::Fleet,
    heartbeat::{News, Stamp},
    loads::Loads,
    metrics::Metrics,
    peers::Peers,
    settings::{Bounds, Settings},
    store::Store,
};

/// Age of the last word of store or peers after which the configuration may be
/// out of date, in milliseconds.
const STALE_MS: u64 = 2_500;

/// How long the death of an endpoint counts against the requests that were open
/// there, in milliseconds.
const DEATH_MEMORY_MS: u64 = 120_000;

/// One gateway.
pub(crate) struct Gateway {
    pub(crate) settings: Settings,
    /// The bounds in force, which a reload may change.
    pub(crate) bounds: Cell<Bounds>,
    pub(crate) clock: Clock,
    pub(crate) dialect: Box<dyn Dialect>,
    pub(crate) store: Box<dyn Store>,
    pub(crate) drain: Drain,
    pub(crate) metrics: Metrics,
    pub(crate) config: RefCell<Option<Rc<FleetConfig>>>,
    pub(crate) routes: RefCell<Rc<RouteTable>>,
    pub(crate) endpoints: RefCell<Endpoints>,
    pub(crate) fleet: RefCell<Fleet>,
    pub(crate) budget: RefCell<RetryBudget>,
    pub(crate) quarantine: RefCell<Quarantine<u64>>,
    pub(crate) cached: RefCell<CachedPrefixes>,
    pub(crate) loads: Rc<RefCell<Loads>>,
    pub(crate) peers: RefCell<Peers>,
    pub(crate) config_heard: Cell<Millis>,
    pub(crate) list_heard: Cell<Millis>,
    digest: Cell<u64>,
    pub(crate) reread: Notify,
    pub(crate) news: RefCell<News>,
    pub(crate) history: RefCell<History>,
    pub(crate) beats: OnceCell<Rc<UdpSocket>>,
}

impl Gateway {
    /// Makes a gateway that knows nothing yet.
    pub(crate) fn new(
        settings: Settings,
        dialect: Box<dyn Dialect>,
        store: Box<dyn Store>,
        metrics: Metrics,
    ) -> Gateway {
        let clock = Clock::start();
        let limit = settings.bounds.to_retry_limit();
        let bounds = Cell::new(settings.bounds);
        let peers = Peers::new(&settings, clock.now());
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
            fleet: RefCell::default(),
            budget: RefCell::new(RetryBudget::new(limit)),
            quarantine: RefCell::new(Quarantine::with_retention(DEATH_MEMORY_MS)),
            cached: RefCell::default(),
            loads: Rc::default(),
            peers: RefCell::new(peers),
            config_heard: Cell::new(Millis(0)),
            list_heard: Cell::new(Millis(0)),
            digest: Cell::new(0),
            reread: Notify::new(),
            news: RefCell::default(),
            history: RefCell::default(),
            beats: OnceCell::new(),
        }
    }

    /// Puts new settings in force, as far as that needs no restart.
    pub(crate) fn reload(&self, settings: &Settings) {
        self.bounds.set(settings.bounds);
        self.budget.borrow_mut().set_limit(settings.bounds.to_retry_limit());
        let mut peers = self.peers.borrow_mut();
        for seed in settings.seeds.iter().flatten() {
            peers.add(*seed.ip(), self.now());
        }
    }

    /// Reads the clock.
    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Returns the version of the configuration in force; 0 if there is none.
    pub(crate) fn version(&self) -> u64 {
        self.routes.borrow().version()
    }

    /// Returns whether clients' requests can be served.
    pub(crate) fn is_ready(&self) -> bool {
        !self.drain.is_stopping() && self.version() > 0 && self.endpoints.borrow().any_ready()
    }

    /// Returns whether the configuration was confirmed a short while ago.
    pub(crate) fn is_config_fresh(&self) -> bool {
        self.now().since(self.config_heard.get()) < STALE_MS
    }

    /// Returns whether the list of endpoints could be read at the last try.
    pub(crate) fn follows_endpoints(&self) -> bool {
        !self.endpoints.borrow().is_list_unavailable()
    }

    /// Returns whether this gateway reads the list of endpoints itself.
    pub(crate) fn reads_endpoints(&self) -> bool {
        self.follows_endpoints() && self.peers.borrow().is_reader(self.now())
    }

    /// Notes that the list of endpoints was read.
    pub(crate) fn endpoints_read(&self) {
        self.endpoints.borrow_mut().mark_list_available(self.list_age_ms(), self.now());
        self.list_heard.set(self.now());
        self.config_heard.set(self.now());
    }

    /// Notes that the list of endpoints could not be read.
    pub(crate) fn endpoints_unread(&self) {
        self.endpoints.borrow_mut().mark_list_unavailable();
    }

    /// Puts a configuration in force, unless one at least as new is.
    pub(crate) fn apply_config(&self, config: FleetConfig, source: &str) {
        if config.version <= self.version() {
            return;
        }
        spdlog::info!(
            "config: version={} before={} routes={} source={source}",
            config.version,
            self.version(),
            config.routes.len()
        );
        *self.routes.borrow_mut() = Rc::new(RouteTable::from_config(&config));
        *self.config.borrow_mut() = Some(Rc::new(config));
    }

    /// Applies changes of the list of endpoints, up to `offset`.
    pub(crate) fn apply_changes(&self, changes: Vec<Change>, offset: u64) {
        let now = self.now();
        let mut endpoints = self.endpoints.borrow_mut();
        let mut applied: Vec<Change> =
            endpoints.expire(now).into_iter().map(Change::Remove).collect();
        for change in changes {
            if endpoints.apply(change.clone(), now) {
                spdlog::info!("endpoints: {} offset={offset}", describe(&change));
                applied.push(change);
            }
        }
        endpoints.advance_offset(offset);
        if !applied.is_empty() {
            let before = self.digest.get();
            self.history.borrow_mut().record(before, &applied);
            self.list_changed(&endpoints);
            self.news.borrow_mut().add(before, self.digest.get(), applied);
        }
    }

    /// Takes over changes that another gateway has read, if they follow on the
    /// list that this one has.
    pub(crate) fn adopt_news(&self, news: News, stamp: &Stamp) {
        if news.before == self.digest.get() && !news.changes.is_empty() {
            self.adopt_changes(news.changes, stamp.offset, "peer");
        }
    }

    /// Takes over changes that follow on the list that this gateway has.
    pub(crate) fn adopt_changes(&self, changes: Vec<Change>, offset: u64, source: &str) {
        let mut endpoints = self.endpoints.borrow_mut();
        for change in &changes {
            spdlog::info!("endpoints: {} offset={offset} source={source}", describe(change));
        }
        self.history.borrow_mut().record(self.digest.get(), &changes);
        endpoints.apply_from_peer(changes);
        self.list_changed(&endpoints);
    }

    /// Brings requests in line with a changed list.
    fn list_changed(&self, endpoints: &Endpoints) {
        self.digest.set(endpoints.digest());
        self.fleet.borrow_mut().update(endpoints.iter(), self.clock);
    }

    /// Returns what this gateway knows, to compare with others.
    pub(crate) fn stamp(&self) -> Stamp {
        Stamp {
            version: self.version(),
            offset: self.endpoints.borrow().offset(),
            digest: self.digest.get(),
            age_ms: self.now().since(self.list_heard.get()),
        }
    }

    /// Takes in what another gateway knows.
    pub(crate) fn hear_stamp(&self, stamp: &Stamp) {
        if stamp.digest != self.digest.get() {
            return;
        }
        let heard = self.hear_list(stamp.age_ms);
        self.endpoints.borrow_mut().advance_offset(stamp.offset);
        if stamp.version == self.version() {
            self.config_heard.set(self.config_heard.get().max(heard));
        }
    }

    /// Notes a word on the list of endpoints that is `age_ms` old; returns when
    /// the list was read.
    pub(crate) fn hear_list(&self, age_ms: u64) -> Millis {
        let heard = self.now() - age_ms;
        self.list_heard.set(self.list_heard.get().max(heard));
        heard
    }

    /// Returns the age of the newest word on the list of endpoints, in
    /// milliseconds.
    pub(crate) fn list_age_ms(&self) -> u64 {
        self.now().since(self.list_heard.get())
    }

    /// Replaces the list of endpoints by the store's as of `offset`.
    pub(crate) fn replace_endpoints(&self, entries: Vec<Endpoint>, offset: u64) {
        spdlog::info!("endpoints: listed={} offset={offset} source=store", entries.len());
        let mut endpoints = self.endpoints.borrow_mut();
        endpoints.replace(entries, self.now());
        self.history.borrow_mut().clear();
        endpoints.advance_offset(offset);
        self.list_changed(&endpoints);
    }

    /// Replaces the list of endpoints by another gateway's as of `offset`.
    pub(crate) fn adopt_endpoints(&self, entries: Vec<Endpoint>, offset: u64, source: &str) {
        spdlog::info!("endpoints: listed={} offset={offset} source={source}", entries.len());
        let mut endpoints = self.endpoints.borrow_mut();
        endpoints.replace_from_peer(entries, offset);
        self.history.borrow_mut().clear();
        self.list_changed(&endpoints);
    }

    /// Returns the gateways that are alive, this one included.
    pub(crate) fn gateways(&self) -> usize {
        self.peers.borrow().count_alive(self.now()) + 1
    }

    /// Notes an endpoint that is another one than its entry says.
    pub(crate) fn drop_endpoint(&self, id: &Name) {
        let mut endpoints = self.endpoints.borrow_mut();
        if endpoints.apply(Change::Remove(id.clone()), self.now()) {
            spdlog::info!("endpoints: id={id} gone=true cause=misdirected");
            self.history.borrow_mut().record(self.digest.get(), &[Change::Remove(id.clone())]);
            self.list_changed(&endpoints);
        }
    }
}

fn describe(change: &Change) -> String {
    match change {
        Change::Upsert(it) => {
            format!(
                "id={} state={:?} service={} address={}",
                it.id, it.state, it.service, it.address
            )
        }
        Change::Remove(id) => format!("id={id} gone=true"),
    }
}
