//! Follows the store: configuration, endpoints and other gateways.

use std::{rc::Rc, time::Duration};

use mimosaledge_core::hash::hash64;
use mimosaledge_net::LocalBoxFuture;
use tokio::time::{sleep, timeout};

use crate::{
    error::{Error, Result},
    exchange,
    gateway::Gateway,
    store::{GatewayEntry, Page, Record, Topic},
};

/// Longest wait for a change of the configuration in one call.
const CONFIG_WAIT: Duration = Duration::from_secs(30);
/// Longest time for an answer, beyond the wait that the call asks for.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause between two looks at the list of endpoints.
const ENDPOINTS_PAUSE: Duration = Duration::from_millis(900);
/// Age of the word on the list of endpoints at which a gateway reads it
/// itself, in milliseconds.
const WORD_MS: u64 = 1_300;
/// Spread of that age over gateways, in milliseconds.
const WORD_SPREAD_MS: u64 = 300;
/// Pause between two looks at that age.
const WORD_LOOK: Duration = Duration::from_millis(100);
/// Time within which the gateways of a fleet start.
const START_SPREAD: Duration = Duration::from_millis(500);
/// Pause between two looks at the list of gateways while no other one is known
/// to be alive; those that are name the rest.
const GATEWAYS_PAUSE: Duration = Duration::from_secs(5);
/// Pause before reading anew what has expired, so that a store that contradicts
/// itself is not asked without a break.
const EXPIRED_PAUSE: Duration = Duration::from_millis(50);
/// First pause after a failed call.
const FIRST_RETRY: Duration = Duration::from_millis(200);
/// Longest pause after a failed call.
const MAX_RETRY: Duration = Duration::from_millis(800);

/// How far a topic has been read.
struct Cursor {
    topic: Topic,
    next: Option<u64>,
    /// What has been read of a list that takes several calls.
    partial: Option<Page>,
    pause: Duration,
    lost: bool,
}

impl Cursor {
    fn new(topic: Topic) -> Cursor {
        Cursor { topic, next: None, partial: None, pause: FIRST_RETRY, lost: false }
    }

    /// Reads on, or anew from the newest records if there is no place to read
    /// on from.
    async fn read(&mut self, gateway: &Gateway, wait: Duration) -> Result<(Page, bool)> {
        let whole = self.next.is_none();
        let page = match self.next {
            Some(from) => {
                let call = gateway.store.read(self.topic, from, wait);
                self.call(gateway, wait, call).await?
            }
            None => self.read_newest(gateway).await?,
        };
        self.next = Some(page.next);
        self.pause = FIRST_RETRY;
        if self.lost {
            self.lost = false;
            spdlog::info!("store: topic={:?} regained=true", self.topic);
        }
        Ok((page, whole))
    }

    /// Reads the newest records, in as many calls as it takes. What was read
    /// before a call failed is kept for the next try.
    async fn read_newest(&mut self, gateway: &Gateway) -> Result<Page> {
        loop {
            let after = self.partial.as_ref().and_then(|it| it.more.clone());
            let call = gateway.store.newest(self.topic, after);
            let page = self.call(gateway, Duration::ZERO, call).await?;
            let whole = match self.partial.take() {
                Some(before) => before.followed_by(page),
                None => page,
            };
            if whole.more.is_none() {
                return Ok(whole);
            }
            self.partial = Some(whole);
        }
    }

    async fn call(
        &self,
        gateway: &Gateway,
        wait: Duration,
        call: LocalBoxFuture<'_, Result<Page>>,
    ) -> Result<Page> {
        let page = match timeout(wait + CALL_TIMEOUT, call).await {
            Ok(answered) => answered,
            Err(_) => Err(Error::unreachable("timeout")),
        };
        let outcome = if page.is_ok() { "ok" } else { "failed" };
        gateway.metrics.store_calls.with_label_values(&[topic_label(self.topic), outcome]).inc();
        page
    }

    /// Skips records that another gateway has read.
    fn skip_to(&mut self, offset: u64) {
        self.next = self.next.map(|next| next.max(offset));
    }

    async fn back_off(&mut self, err: &Error) {
        if err.is_expired() {
            spdlog::info!("store: topic={:?} next={:?} expired=true", self.topic, self.next);
            self.next = None;
            self.partial = None;
            sleep(EXPIRED_PAUSE).await;
            return;
        }
        if !self.lost {
            self.lost = true;
            spdlog::warn!("store: topic={:?} lost=true cause=\"{err}\"", self.topic);
        }
        sleep(self.pause).await;
        self.pause = (self.pause * 2).min(MAX_RETRY);
    }
}

/// Keeps the configuration up to date.
pub(crate) async fn follow_config(gateway: Rc<Gateway>) {
    let mut cursor = Cursor::new(Topic::Config);
    loop {
        let read = tokio::select! {
            read = cursor.read(&gateway, CONFIG_WAIT) => read,
            () = gateway.reread.notified() => {
                cursor.next = None;
                continue;
            }
        };
        match read {
            Ok((page, _)) => {
                gateway.config_heard.set(gateway.now());
                for record in page.records {
                    match record {
                        Record::Config(config) => gateway.apply_config(*config, "store"),
                        record => log_unused(Topic::Config, record),
                    }
                }
            }
            Err(err) => cursor.back_off(&err).await,
        }
    }
}

/// Keeps the list of endpoints up to date.
pub(crate) async fn follow_endpoints(gateway: Rc<Gateway>) {
    let mut cursor = Cursor::new(Topic::Endpoints);
    loop {
        let was_lost = cursor.lost;
        match cursor.read(&gateway, Duration::ZERO).await {
            Ok((page, _)) if page.next < gateway.endpoints.borrow().offset() => {
                // A copy of the store that is behind must not undo what is known.
                let known = gateway.endpoints.borrow().offset();
                spdlog::warn!("store: topic=Endpoints stale=true next={} known={known}", page.next);
                cursor.next = None;
                sleep(FIRST_RETRY).await;
            }
            Ok((page, whole)) => {
                if was_lost {
                    // A wait for the configuration may have been lost as well.
                    gateway.reread.notify_one();
                }
                gateway.endpoints_read();
                take_endpoints(&gateway, page, whole);
                exchange::send_news(&gateway).await;
                sleep(ENDPOINTS_PAUSE).await;
                wait_for_turn(&gateway).await;
                cursor.skip_to(gateway.endpoints.borrow().offset());
            }
            Err(err) => {
                if !err.is_expired() {
                    gateway.endpoints_unread();
                }
                cursor.back_off(&err).await;
                if !err.is_expired() {
                    wait_for_turn(&gateway).await;
                    cursor.skip_to(gateway.endpoints.borrow().offset());
                }
            }
        }
    }
}

/// Waits until this gateway has to read the list of endpoints itself: as a
/// reader at once, else when there is no word of it from a reader.
async fn wait_for_turn(gateway: &Gateway) {
    let spread_ms = hash64(gateway.settings.name.as_bytes()) % WORD_SPREAD_MS;
    while !gateway.reads_endpoints() && gateway.list_age_ms() < WORD_MS + spread_ms {
        sleep(WORD_LOOK).await;
    }
}

fn take_endpoints(gateway: &Gateway, page: Page, whole: bool) {
    let mut changes = Vec::with_capacity(page.records.len());
    for record in page.records {
        match record {
            Record::Endpoint(change) => changes.push(change),
            record => log_unused(Topic::Endpoints, record),
        }
    }
    if whole {
        let listed = changes.into_iter().filter_map(|it| it.into_endpoint()).collect();
        gateway.replace_endpoints(listed, page.next);
    } else {
        gateway.apply_changes(changes, page.next);
    }
}

/// Makes this gateway known and finds the others.
pub(crate) async fn follow_gateways(gateway: Rc<Gateway>) {
    let settings = &gateway.settings;
    let entry = GatewayEntry { name: settings.name.clone(), address: settings.address };
    let mut registered = false;
    let mut cursor = Cursor::new(Topic::Gateways);
    loop {
        if !registered {
            match timeout(CALL_TIMEOUT, gateway.store.register(entry.clone())).await {
                Ok(Ok(())) => {
                    registered = true;
                    // Those that start at the same time are listed by then.
                    sleep(START_SPREAD).await;
                }
                Ok(Err(err)) => cursor.back_off(&err).await,
                Err(_) => cursor.back_off(&Error::unreachable("timeout")).await,
            }
        }
        match cursor.read(&gateway, Duration::ZERO).await {
            Ok((page, _)) => {
                for record in page.records {
                    match record {
                        Record::Gateway(it) => {
                            gateway.peers.borrow_mut().add(it.address, gateway.now());
                        }
                        record => log_unused(Topic::Gateways, record),
                    }
                }
                sleep(GATEWAYS_PAUSE).await;
                while gateway.gateways() > 1 {
                    sleep(GATEWAYS_PAUSE).await;
                }
            }
            Err(err) => cursor.back_off(&err).await,
        }
    }
}

fn topic_label(topic: Topic) -> &'static str {
    match topic {
        Topic::Config => "config",
        Topic::Endpoints => "endpoints",
        Topic::Gateways => "gateways",
    }
}

fn log_unused(topic: Topic, record: Record) {
    if let Record::Unreadable { key, reason } = record {
        spdlog::warn!("store: topic={topic:?} key={key} unreadable=true cause={reason:?}");
    }
}
