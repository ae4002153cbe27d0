//! Reads the lists of endpoints and gateways from the store, at startup and as they
//! change.

use std::{rc::Rc, time::Duration};

use mimosaledge_core::hash::hash64;
use mimosaledge_policy::Position;
use tokio::time::{sleep, timeout};

use crate::{
    cursor::{CALL_TIMEOUT, Cursor, MIN_BACKOFF, Read},
    error::Error,
    gateway::Gateway,
    gossip,
    store::{GatewayEntry, Record, Topic},
    warmup,
};

/// Interval between two reads of the endpoint list.
const LIST_POLL_INTERVAL: Duration = Duration::from_millis(900);
/// Age of the endpoint list at which a gateway that normally receives it from
/// its peers reads it from the store, in milliseconds.
const LIST_STALE_MS: u64 = 1_300;
/// Range of the jitter that is added to this age, in milliseconds; it differs
/// between gateways, so that they do not all read at once.
const LIST_STALE_JITTER_MS: u64 = 300;
/// Interval between two checks of the age of the last confirmation.
pub(crate) const CONFIRMATION_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time within which gateways that are started together register.
const REGISTRATION_WINDOW: Duration = Duration::from_millis(500);
/// Interval between two reads of the list of gateways while no other live
/// gateway is known; heartbeats of live ones name the others.
const GATEWAYS_POLL_INTERVAL: Duration = Duration::from_secs(5);
/// Range of the delay after which a gateway registers again when the store was
/// restored, in milliseconds; appends to one topic are processed one at a time.
const RESTORE_REGISTER_JITTER_MS: u64 = 2_000;

/// Returns a delay of up to `range_ms`, which differs between gateways.
pub(crate) fn jitter(gateway: &Gateway, range_ms: u64) -> Duration {
    Duration::from_millis(hash64(gateway.settings.name.as_bytes()) % range_ms)
}

/// Reads the endpoint list and its changes until the gateway exits; pauses
/// while peers that read them keep this gateway up to date.
pub(crate) async fn follow_endpoints(gateway: Rc<Gateway>) {
    let mut cursor = Cursor::new(Topic::Endpoints);
    loop {
        let started = gateway.now();
        match cursor.read(&gateway, Duration::ZERO, CALL_TIMEOUT).await {
            Ok(read) if read.position < gateway.endpoints.borrow().position() => {
                // A stale replica of the store must not revert newer state.
                let known = gateway.endpoints.borrow().position();
                spdlog::warn!(
                    "store: topic=Endpoints stale=true next={} known={known}",
                    read.position
                );
                cursor.next = None;
                sleep(MIN_BACKOFF).await;
            }
            Ok(read) => {
                gateway.mark_list_read();
                let is_at_end = read.is_complete && !read.is_snapshot;
                apply_endpoints(&gateway, read);
                if is_at_end {
                    gateway.list_read.set(Some(started));
                    gateway.list_wanted.set(false);
                }
                gossip::send_changes(&gateway).await;
                sleep(LIST_POLL_INTERVAL).await;
                wait_until_read_due(&gateway).await;
                cursor.advance_to(gateway.endpoints.borrow().position());
            }
            Err(err) => {
                if !err.is_expired() {
                    gateway.mark_list_unavailable();
                }
                cursor.back_off(&err).await;
                if !err.is_expired() {
                    wait_until_read_due(&gateway).await;
                    cursor.advance_to(gateway.endpoints.borrow().position());
                }
            }
        }
    }
}

/// Waits until this gateway has to read the endpoint list from the store.
///
/// A list reader does not wait; any other gateway waits until no peer has
/// confirmed the list for some time, or a request needs a read of its own.
async fn wait_until_read_due(gateway: &Gateway) {
    let max_age_ms = LIST_STALE_MS + jitter(gateway, LIST_STALE_JITTER_MS).as_millis() as u64;
    let is_confirmed = || gateway.list_age_ms() < max_age_ms && !gateway.list_wanted.get();
    while !gateway.is_list_reader() && is_confirmed() {
        sleep(CONFIRMATION_CHECK_INTERVAL).await;
    }
}

/// Applies changes of the endpoint list, or replaces it with a snapshot.
fn apply_endpoints(gateway: &Gateway, read: Read) {
    let mut changes = Vec::with_capacity(read.records.len());
    let mut warmups = Vec::new();
    for record in read.records {
        match record {
            Record::Endpoint(change) => changes.push(change),
            Record::Warmup(it) => warmups.push(it),
            record => log_unreadable(Topic::Endpoints, record),
        }
    }
    if !read.is_snapshot {
        gateway.apply_changes(changes, read.position, read.is_complete);
        warmup::apply_entries(gateway, &warmups, true);
        return;
    }
    let listed = changes.into_iter().filter_map(|it| it.into_endpoint()).collect();
    let known = gateway.endpoints.borrow().position();
    if known != Position::default() && known.era < read.position.era {
        gateway.restore_from_store(listed, read.position);
    } else {
        gateway.replace_from_store(listed, read.position);
    }
    warmup::apply_entries(gateway, &warmups, false);
}

/// Registers this gateway in the store and discovers the others.
pub(crate) async fn follow_gateways(gateway: Rc<Gateway>) {
    let settings = &gateway.settings;
    let entry = GatewayEntry { name: settings.name.clone(), address: settings.address };
    // Era in which the entry was last written.
    let mut registered = None;
    let mut cursor = Cursor::new(Topic::Gateways);
    loop {
        if registered.is_none_or(|era| era < gateway.era()) {
            match timeout(CALL_TIMEOUT, gateway.store.register(entry.clone())).await {
                Ok(Ok(era)) => {
                    registered = Some(era.unwrap_or_else(|| gateway.era()));
                    // Gateways started at the same time register within this
                    // time and are then found by the first read.
                    sleep(REGISTRATION_WINDOW).await;
                }
                Ok(Err(err)) => cursor.back_off(&err).await,
                Err(_) => cursor.back_off(&Error::unreachable("timeout")).await,
            }
        }
        match cursor.read(&gateway, Duration::ZERO, CALL_TIMEOUT).await {
            Ok(read) => {
                for record in read.records {
                    match record {
                        Record::Gateway(it) => {
                            gateway.peers.borrow_mut().add(it.address, gateway.now());
                        }
                        record => log_unreadable(Topic::Gateways, record),
                    }
                }
                wait_until_alone_or_restored(&gateway, registered).await;
            }
            Err(err) => cursor.back_off(&err).await,
        }
    }
}

/// Waits until no other gateway is known any more, or until the store is restored
/// to a copy that may lack the entry written in the era `registered`.
async fn wait_until_alone_or_restored(gateway: &Gateway, registered: Option<u64>) {
    let mut era = gateway.era.subscribe();
    loop {
        let restored = timeout(GATEWAYS_POLL_INTERVAL, era.wait_for(|it| registered < Some(*it)));
        if restored.await.is_ok() {
            sleep(jitter(gateway, RESTORE_REGISTER_JITTER_MS)).await;
            return;
        }
        if gateway.count_gateways() <= 1 {
            return;
        }
    }
}

/// Logs a record that cannot be decoded; ignores a record of another topic.
pub(crate) fn log_unreadable(topic: Topic, record: Record) {
    if let Record::Unreadable { key, reason } = record {
        spdlog::warn!("store: topic={topic:?} key={key} unreadable=true cause={reason:?}");
    }
}
