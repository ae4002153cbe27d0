//! Reads the configuration, and the evacuations of data centres, from the store as they change.
//!
//! Every gateway waits at the store for the next version. Only a response to such a call
//! proves that a version is current, and a call may never get one; so a few gateways wait
//! only briefly each time and confirm the version to the others by heartbeats. A gateway
//! without such a confirmation gives its own call up and reads again.

use std::{rc::Rc, time::Duration};

use mimosaledge_policy::version_follower::{NextRead, VersionFollower, VersionsRead};
use tokio::time::{Instant, sleep, sleep_until};

use crate::{
    cursor::{CALL_TIMEOUT, Cursor, Read},
    error::Result,
    evacuation,
    follow::{self, CONFIRMATION_CHECK_INTERVAL},
    gateway::Gateway,
    gossip,
    store::{Record, Topic},
};

/// Maximum time that one call waits for a new version.
const LONG_POLL: Duration = Duration::from_secs(30);
/// Interval at which a gateway that confirms the version to others gets a response.
const CONFIRMING_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout for a call, in addition to the time that it waits, while the store responds.
const POLL_TIMEOUT: Duration = Duration::from_millis(700);
/// Minimum time between a version and the call that waits for the next one, so that
/// versions in quick succession are read together.
const MIN_INTERVAL: Duration = Duration::from_millis(700);
/// Time for which a confirmation may be on its way besides the intervals at which it is
/// obtained and sent, in milliseconds.
const CONFIRMATION_DELAY_MS: u64 = 150;
/// Age of the last confirmation at which a gateway of a large fleet reads the configuration
/// again, in milliseconds; heartbeats take several rounds to reach all.
const LARGE_FLEET_MAX_AGE_MS: u64 = 3_500;
/// Range of the jitter that is added to this age, in milliseconds.
const MAX_AGE_JITTER_MS: u64 = 300;
/// Range of the delay after which a gateway reads the configuration again when the
/// store was restored, in milliseconds; it differs between gateways.
const RESTORE_REREAD_JITTER_MS: u64 = 400;

/// Reads the configuration and its changes until the gateway exits.
pub(crate) async fn follow_config(gateway: Rc<Gateway>) {
    let mut cursor = Cursor::new(Topic::Config);
    let mut follower = VersionFollower::default();
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
            read = poll(next_read, &gateway, &mut follower, &mut cursor) => read,
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

/// Returns the latest version that this gateway or one of its peers has.
fn known_version(gateway: &Gateway) -> u64 {
    let own = gateway.config_version();
    gateway.peers.borrow().latest_version(gateway.now()).map_or(own, |it| it.max(own))
}

fn versions_of(read: &Read) -> VersionsRead {
    let version = |it: &Record| match it {
        Record::Config(config) => Some(config.version),
        _ => None,
    };
    let versions = || read.records.iter().filter_map(version);
    VersionsRead {
        count: versions().count(),
        last: versions().next_back().unwrap_or_default(),
        bytes: read.bytes,
        is_complete: read.is_complete,
    }
}

fn apply(gateway: &Gateway, read: Read) {
    if read.is_complete {
        gateway.confirm_config(read.current_at);
    }
    evacuation::apply_read(gateway, &read);
    for record in read.records {
        match record {
            Record::Config(config) => gateway.apply_config(*config, "store"),
            Record::Evacuation { .. } => {}
            record => follow::log_unreadable(Topic::Config, record),
        }
    }
}

/// Reads the next versions, at `time` at the earliest. Returns `None` if the call was given
/// up because nothing confirms that it is not lost.
async fn poll(
    time: Instant,
    gateway: &Gateway,
    follower: &mut VersionFollower,
    cursor: &mut Cursor,
) -> Option<Result<Read>> {
    sleep_until(time).await;
    let known = known_version(gateway);
    let next_read = follower.next_read(known);
    let read = match next_read {
        NextRead::Following { max_kb } => {
            cursor.max_kb = max_kb;
            follow_versions(gateway, cursor).await?
        }
        NextRead::Newest => {
            cursor.next = None;
            cursor.read(gateway, Duration::ZERO, CALL_TIMEOUT).await
        }
    };
    if let Ok(read) = &read {
        follower.record(next_read, versions_of(read), known);
    }
    Some(read)
}

/// Reads the versions after the cursor, or the newest at first; see [`poll`].
async fn follow_versions(gateway: &Gateway, cursor: &mut Cursor) -> Option<Result<Read>> {
    if cursor.is_disconnected {
        return Some(cursor.read(gateway, Duration::ZERO, CALL_TIMEOUT).await);
    }
    if is_unconfirmed(gateway) {
        return Some(cursor.read(gateway, Duration::ZERO, POLL_TIMEOUT).await);
    }
    if gateway.is_reader() {
        let age = Duration::from_millis(gateway.config_age_ms());
        let wait = CONFIRMING_INTERVAL.saturating_sub(age);
        return Some(cursor.read(gateway, wait, POLL_TIMEOUT).await);
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
    gateway.config_age_ms() >= max_age_ms(gateway)
}

/// Returns the age of the last confirmation at which a gateway reads the configuration
/// again, in milliseconds.
fn max_age_ms(gateway: &Gateway) -> u64 {
    let jitter_ms = follow::jitter(gateway, MAX_AGE_JITTER_MS).as_millis() as u64;
    let peers = gateway.peers.borrow();
    if peers.is_large() {
        return LARGE_FLEET_MAX_AGE_MS + jitter_ms;
    }
    let interval_ms = CONFIRMING_INTERVAL.as_millis() as u64;
    interval_ms + peers.round_interval_ms() + CONFIRMATION_DELAY_MS + jitter_ms
}
