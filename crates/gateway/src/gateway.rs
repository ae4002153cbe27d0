//! What the tasks of one gateway share.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use mimosaledge_core::{Millis, Name};
use mimosaledge_policy::{
    FleetConfig,
    cached::CachedPrefixes,
    config::RouteTable,
    crashers::Crashers,
    endpoints::{Change, Endpoints},
    retry_budget::{RetryBudget, RetryLimit},
};
use tokio::sync::Notify;

use crate::{
    clock::Clock, dialect::Dialect, drain::Drain, fleet::Fleet, metrics::Metrics, peers::Peers,
    settings::Settings, store::Store,
};

/// Age of the last word of store or peers after which the configuration may be
/// out of date, in milliseconds.
const STALE_MS: u64 = 2_500;

/// One gateway.
pub(crate) struct Gateway {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) dialect: Box<dyn Dialect>,
    pub(crate) store: Box<dyn Store>,
    pub(crate) drain: Drain,
    pub(crate) metrics: Metrics,
    pub(crate) config: RefCell<Option<Rc<FleetConfig>>>,
    pub(crate) routes: RefCell<Rc<RouteTable>>,
    pub(crate) endpoints: RefCell<Endpoints>,
    pub(crate) endpoints_offset: Cell<u64>,
    pub(crate) fleet: RefCell<Fleet>,
    pub(crate) budget: RefCell<RetryBudget>,
    pub(crate) crashers: RefCell<Crashers>,
    pub(crate) cached: RefCell<CachedPrefixes>,
    pub(crate) peers: RefCell<Peers>,
    pub(crate) config_heard: Cell<Millis>,
    pub(crate) reread: Notify,
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
        let bounds = settings.bounds;
        let limit = RetryLimit {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            window_ms: (bounds.retry_window_s * 1_000.0) as u64,
        };
        let peers = Peers::new(&settings, clock.now());
        Gateway {
            settings,
            clock,
            dialect,
            store,
            drain: Drain::default(),
            metrics,
            config: RefCell::default(),
            routes: RefCell::default(),
            endpoints: RefCell::default(),
            endpoints_offset: Cell::new(0),
            fleet: RefCell::default(),
            budget: RefCell::new(RetryBudget::from_limit(limit)),
            crashers: RefCell::default(),
            cached: RefCell::default(),
            peers: RefCell::new(peers),
            config_heard: Cell::new(Millis(0)),
            reread: Notify::new(),
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

    /// Returns whether the list of endpoints is being read from the store.
    pub(crate) fn follows_endpoints(&self) -> bool {
        !self.endpoints.borrow().is_away()
    }

    /// Notes that the list of endpoints was read.
    pub(crate) fn endpoints_read(&self) {
        self.endpoints.borrow_mut().list_returned(self.now());
        self.config_heard.set(self.now());
    }

    /// Notes that the list of endpoints could not be read.
    pub(crate) fn endpoints_unread(&self) {
        self.endpoints.borrow_mut().list_lost();
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
        let mut changed = !endpoints.expire(now).is_empty();
        for change in changes {
            let line = describe(&change);
            if endpoints.apply(change, now) {
                spdlog::info!("endpoints: {line} offset={offset}");
                changed = true;
            }
        }
        self.endpoints_offset.set(offset);
        if changed {
            self.fleet.borrow_mut().update(endpoints.iter(), self.clock);
        }
    }

    /// Replaces the list of endpoints as of `offset`.
    pub(crate) fn replace_endpoints(
        &self,
        entries: Vec<mimosaledge_policy::Endpoint>,
        offset: u64,
        source: &str,
    ) {
        let mut endpoints = self.endpoints.borrow_mut();
        spdlog::info!("endpoints: listed={} offset={offset} source={source}", entries.len());
        endpoints.replace(entries, self.now());
        self.endpoints_offset.set(offset);
        self.fleet.borrow_mut().update(endpoints.iter(), self.clock);
    }

    /// Returns the gateways that are alive, this one included.
    pub(crate) fn gateways(&self) -> usize {
        self.peers.borrow().alive(self.now()) + 1
    }

    /// Notes an endpoint that is another one than its entry says.
    pub(crate) fn drop_endpoint(&self, id: &Name) {
        let mut endpoints = self.endpoints.borrow_mut();
        if endpoints.apply(Change::Gone(id.clone()), self.now()) {
            spdlog::info!("endpoints: id={id} gone=true cause=misdirected");
            self.fleet.borrow_mut().update(endpoints.iter(), self.clock);
        }
    }
}

fn describe(change: &Change) -> String {
    match change {
        Change::Listed(it) => {
            format!(
                "id={} state={:?} service={} address={}",
                it.id, it.state, it.service, it.address
            )
        }
        Change::Gone(id) => format!("id={id} gone=true"),
    }
}
