//! Reads one topic of the store, from a cursor or as a snapshot.

use std::time::Duration;

use mimosaledge_core::Millis;
use mimosaledge_net::LocalBoxFuture;
use mimosaledge_policy::Position;
use tokio::time::{sleep, timeout};

use crate::{
    error::{Error, Result},
    gateway::Gateway,
    store::{Page, Record, Topic},
};

/// Timeout for a call that does not wait for new records.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum size of a read that continues from a position, in KB.
const MAX_READ_KB: usize = 1_024;
/// Delay before reading a snapshot after the cursor's records have expired, so
/// that an inconsistent store is not called in a tight loop.
const EXPIRED_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Delay after the first failed call.
pub(crate) const MIN_BACKOFF: Duration = Duration::from_millis(200);
/// Maximum delay after a failed call.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Cursor in one topic of the store, with the state of retries.
pub(crate) struct Cursor {
    topic: Topic,
    /// Position to read from, or `None` to read a snapshot.
    pub(crate) next: Option<Position>,
    /// Maximum size of a read that continues from there, in KB.
    pub(crate) max_kb: usize,
    /// The pages read so far of a snapshot that takes several calls.
    partial: Option<Page>,
    backoff: Duration,
    pub(crate) is_disconnected: bool,
}

impl Cursor {
    /// Creates a cursor that starts with a snapshot.
    pub(crate) fn new(topic: Topic) -> Cursor {
        Cursor {
            topic,
            next: None,
            max_kb: MAX_READ_KB,
            partial: None,
            backoff: MIN_BACKOFF,
            is_disconnected: false,
        }
    }

    /// Reads the records after the cursor, or a snapshot if there is no
    /// position to continue from; waits up to `wait` for the first record, and
    /// up to `call_timeout` longer for the response.
    ///
    /// Records of a later era do not continue those read before, so that a
    /// snapshot is read instead.
    pub(crate) async fn read(
        &mut self,
        gateway: &Gateway,
        wait: Duration,
        call_timeout: Duration,
    ) -> Result<Read> {
        let started = gateway.now();
        let mut continued = None;
        if let Some(from) = self.next {
            let call = gateway.store.read(self.topic, from.offset, self.max_kb, wait);
            let page = self.call(gateway, wait + call_timeout, call).await?;
            if page.era.is_none_or(|era| era == from.era) {
                continued = Some(page);
            }
        }
        let is_snapshot = continued.is_none();
        let page = match continued {
            Some(page) => page,
            None => self.read_newest(gateway).await?,
        };
        let position =
            Position { era: page.era.unwrap_or_else(|| gateway.era()), offset: page.next };
        self.next = Some(position);
        self.backoff = MIN_BACKOFF;
        if self.is_disconnected {
            self.is_disconnected = false;
            spdlog::info!("store: topic={:?} regained=true", self.topic);
        }
        // A call without records ended at the earliest when its wait did.
        let current_at = match page.records.is_empty() {
            true => gateway.now().min(started + wait.as_millis() as u64),
            false => gateway.now(),
        };
        let is_complete = page.next >= page.end;
        let Page { records, bytes, .. } = page;
        Ok(Read { records, bytes, position, is_snapshot, is_complete, current_at })
    }

    /// Reads the newest record of each key, in as many calls as it takes. After
    /// a failed call the next attempt continues with the pages read so far.
    async fn read_newest(&mut self, gateway: &Gateway) -> Result<Page> {
        loop {
            let after = self.partial.as_ref().and_then(|it| it.more.clone());
            let call = gateway.store.newest(self.topic, after);
            let page = self.call(gateway, CALL_TIMEOUT, call).await?;
            let listed = match self.partial.take() {
                Some(previous) if previous.era == page.era => previous.append(page),
                // The store was restored between the two calls.
                Some(_) => continue,
                None => page,
            };
            if listed.more.is_none() {
                return Ok(listed);
            }
            self.partial = Some(listed);
        }
    }

    async fn call(
        &self,
        gateway: &Gateway,
        call_timeout: Duration,
        call: LocalBoxFuture<'_, Result<Page>>,
    ) -> Result<Page> {
        let page = match timeout(call_timeout, call).await {
            Ok(result) => result.and_then(|page| check_era(gateway, page)),
            Err(_) => Err(Error::unreachable("timeout")),
        };
        let outcome = if page.is_ok() { "ok" } else { "failed" };
        gateway.metrics.store_calls.with_label_values(&[metric_label(self.topic), outcome]).inc();
        page
    }

    /// Skips records before `position`, which a peer has read and sent.
    pub(crate) fn advance_to(&mut self, position: Position) {
        self.next = self.next.map(|next| next.max(position));
    }

    /// Returns whether the cursor continues from records of an era before `era`.
    pub(crate) fn is_before(&self, era: u64) -> bool {
        self.next.is_some_and(|next| next.era < era)
    }

    /// Waits after a failed call; if the records have expired, the next call
    /// reads a snapshot.
    pub(crate) async fn back_off(&mut self, err: &Error) {
        if err.is_expired() {
            spdlog::info!("store: topic={:?} next={:?} expired=true", self.topic, self.next);
            self.next = None;
            self.partial = None;
            sleep(EXPIRED_RETRY_DELAY).await;
            return;
        }
        if !self.is_disconnected {
            self.is_disconnected = true;
            spdlog::warn!("store: topic={:?} lost=true cause=\"{err}\"", self.topic);
        }
        sleep(self.backoff).await;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }
}

/// The result of one read of a topic.
pub(crate) struct Read {
    pub(crate) records: Vec<Record>,
    /// Size of the records, in bytes.
    pub(crate) bytes: usize,
    /// Position after these records.
    pub(crate) position: Position,
    /// Whether the records are the newest ones of all keys.
    pub(crate) is_snapshot: bool,
    /// Whether the topic ended with these records.
    pub(crate) is_complete: bool,
    /// Time at which that was so.
    pub(crate) current_at: Millis,
}

/// Records the era that the store reports.
///
/// # Errors
///
/// Returns an error if a later era is known, as for a response that was sent
/// before the store was restored.
fn check_era(gateway: &Gateway, page: Page) -> Result<Page> {
    match page.era {
        Some(era) if era < gateway.era() => Err(Error::stale(era)),
        Some(era) => {
            gateway.observe_era(era, "store");
            Ok(page)
        }
        None => Ok(page),
    }
}

fn metric_label(topic: Topic) -> &'static str {
    match topic {
        Topic::Config => "config",
        Topic::Endpoints => "endpoints",
        Topic::Gateways => "gateways",
        Topic::Builds => "builds",
    }
}
