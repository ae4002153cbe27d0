//! Reads the configuration from the store as it changes.
//!
//! Every gateway waits at the store for the next version. Only a response to such a call
//! proves that a version is current, and a call may never get one; so a few gateways wait
//! only briefly each time and confirm the version to the others by heartbeats. A gateway
//! without such a confirmation gives its own call up and reads again.

use std::{rc::Rc, time::Duration};

use tokio::time::{Instant, sleep, sleep_until};

use crate::{
    cursor::{CALL_TIMEOUT, Cursor, Read},
    error::Result,
    follow::{self, CONFIRMATION_CHECK_INTERVAL},
    gateway::Gateway,
    gossip,
    store::{Record, Topic},
};

/// Maximum time that one call waits for a new version.
const LONG_POLL: Duration = Duration::from_secs(30);
/// Maximum time that one call waits at the gateways that confirm the version to others.
const CONFIRMING_POLL: Duration = Duration::from_secs(1);
/// Timeout for a call, in addition to the time that it waits, while the store responds.
const POLL_TIMEOUT: Duration = Duration::from_millis(700);
/// Minimum time between a version and the call that waits for the next one, so that
/// versions in quick succession are read together.
const MIN_INTERVAL: Duration = Duration::from_millis(700);
/// Age of the last confirmation at which a gateway reads the configuration again, in
/// milliseconds: a confirming poll and a heartbeat.
const MAX_AGE_MS: u64 = 1_600;
/// The same age in a large fleet, where heartbeats take several rounds to reach all.
const LARGE_FLEET_MAX_AGE_MS: u64 = 3_500;
/// Range of the jitter that is added to this age, in milliseconds.
const MAX_AGE_JITTER_MS: u64 = 300;
/// Range of the delay after which a gateway reads the configuration again when the
/// store was restored, in milliseconds; it differs between gateways.
const RESTORE_REREAD_JITTER_MS: u64 = 400;

/// Reads the configuration and its changes until the gateway exits.
pub(crate) async fn follow_config(gateway: Rc<Gateway>) {
    let mut cursor = Cursor::new(Topic::Config);
    let mut era = gateway.era.subscribe();
    let mut next_read = Instant::now();
    loop {
        let was_disconnected = cursor.is_disconnected;
        let read = tokio::select! {
            biased;
            () = gateway.config_reread.notified() => {
                cursor.next = None;
                continue;
            }
            _ = era.changed() => {
                // The long poll may wait for an offset that the restored store
                // reaches only after many changes.
                if cursor.is_before(gateway.era()) {
                    sleep(follow::jitter(&gateway, RESTORE_REREAD_JITTER_MS)).await;
                    cursor.next = None;
                }
                continue;
            }
            read = poll(next_read, &gateway, &mut cursor) => read,
        };
        match read {
            Some(Ok(read)) => {
                if read.is_complete && !read.records.is_empty() {
                    next_read = Instant::now() + MIN_INTERVAL;
                }
                let before = gateway.config_version();
                apply(&gateway, read);
                if was_disconnected && gateway.config_version() > before {
                    gateway.has_unsent_summary.set(true);
                    gossip::send_changes(&gateway).await;
                }
            }
            Some(Err(err)) => cursor.back_off(&err).await,
            None => {}
        }
    }
}

fn apply(gateway: &Gateway, read: Read) {
    if read.is_complete {
        gateway.confirm_config(read.current_at);
    }
    for record in read.records {
        match record {
            Record::Config(config) => gateway.apply_config(*config, "store"),
            record => follow::log_unreadable(Topic::Config, record),
        }
    }
}

/// Reads the next versions, at `time` at the earliest. Returns `None` if the call was given
/// up because nothing confirms that it is not lost.
async fn poll(time: Instant, gateway: &Gateway, cursor: &mut Cursor) -> Option<Result<Read>> {
    sleep_until(time).await;
    if cursor.is_disconnected {
        return Some(cursor.read(gateway, Duration::ZERO, CALL_TIMEOUT).await);
    }
    if is_unconfirmed(gateway) {
        return Some(cursor.read(gateway, Duration::ZERO, POLL_TIMEOUT).await);
    }
    if gateway.is_reader() {
        return Some(cursor.read(gateway, CONFIRMING_POLL, POLL_TIMEOUT).await);
    }
    tokio::select! {
        read = cursor.read(gateway, LONG_POLL, POLL_TIMEOUT) => Some(read),
        () = wait_until_doubtful(gateway) => None,
    }
}

/// Waits until no other gateway confirms the version any more, or one has sent a newer
/// version, for which the store should have ended the call first.
async fn wait_until_doubtful(gateway: &Gateway) {
    let version = gateway.config_version();
    while !is_unconfirmed(gateway) && gateway.config_version() == version {
        sleep(CONFIRMATION_CHECK_INTERVAL).await;
    }
    spdlog::info!(
        "store: topic=Config call=abandoned waited_for={version} known={} config_age_ms={}",
        gateway.config_version(),
        gateway.config_age_ms()
    );
}

fn is_unconfirmed(gateway: &Gateway) -> bool {
    let max_age_ms = match gateway.peers.borrow().is_large() {
        true => LARGE_FLEET_MAX_AGE_MS,
        false => MAX_AGE_MS,
    };
    let jitter_ms = follow::jitter(gateway, MAX_AGE_JITTER_MS).as_millis() as u64;
    gateway.config_age_ms() >= max_age_ms + jitter_ms
}
