//! Publishing of configurations and switching of presets.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use eyre::Result;
use mimosaledge_core::{
    config::PresetName,
    head::{ApplyOutcome, HeadReplica},
    record::{Change, Record},
};
use mimosaledge_net::{
    Category, HttpLog, Log, Meter, incarnation::generate_incarnation, log::CONFIG_STREAM,
};
use serde::Serialize;
use tokio::time::{self, Instant};

use crate::routers;

/// Timeout of one request to the log.
const LOG_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between polls of the log or the routers.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Outcome of a submitted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum PublishOutcome {
    /// The change was accepted and at least one router has read it.
    Accepted {
        /// Offset of the record in the log.
        offset: u64,
        /// Routers whose head is at or after `offset`.
        in_force: usize,
        /// Routers polled.
        routers: usize,
    },
    /// The record was rejected because its parent was not the head.
    Conflict {
        /// Offset of the current head.
        head: Option<u64>,
    },
    /// The record was not appended to the log.
    NotAppended,
    /// Whether the change was accepted could not be determined in time.
    ///
    /// The record may be in the log.
    Unknown,
}

impl PublishOutcome {
    /// Returns the process exit status.
    pub fn exit_status(&self) -> i32 {
        match self {
            PublishOutcome::Accepted { .. } => 0,
            PublishOutcome::Conflict { .. } => 3,
            PublishOutcome::NotAppended => 4,
            PublishOutcome::Unknown => 5,
        }
    }
}

/// A change requested by the operator.
#[derive(Debug, Clone)]
pub enum RequestedChange {
    /// Publish this configuration.
    Configuration(String),
    /// Switch to this preset.
    Preset(PresetName),
}

/// Appends changes to the log and determines their outcome.
#[derive(Debug, Clone)]
pub struct Publisher {
    log: HttpLog,
    routers: Vec<SocketAddr>,
    timeout: Duration,
}

impl Publisher {
    /// Creates a publisher that appends to the log of `platform`, fetches the
    /// head from the operator addresses `routers`, and stops waiting for the
    /// outcome after `timeout`.
    pub fn new(platform: SocketAddr, routers: Vec<SocketAddr>, timeout: Duration) -> Publisher {
        let log = HttpLog::new(platform, LOG_TIMEOUT, Meter::default());
        Publisher { log, routers, timeout }
    }

    /// Submits a change to the head that the first responding router reports.
    ///
    /// # Errors
    ///
    /// Returns an error if no router reports its head, or if the change switches the
    /// preset before a configuration exists.
    pub async fn publish(&self, change: RequestedChange, wait_all: bool) -> Result<PublishOutcome> {
        let replica = routers::fetch_head(&self.routers).await?;
        self.publish_from(replica, change, wait_all).await
    }

    /// Submits a change to the head in `replica`; it conflicts if another change has
    /// replaced that head in the meantime.
    ///
    /// # Errors
    ///
    /// Returns an error if the change switches the preset before a configuration
    /// exists.
    pub async fn publish_from(
        &self,
        replica: HeadReplica,
        change: RequestedChange,
        wait_all: bool,
    ) -> Result<PublishOutcome> {
        let parent = replica.head_offset();
        let change = match change {
            RequestedChange::Configuration(text) => {
                Change::Publish { parent, text: Arc::from(text) }
            }
            RequestedChange::Preset(preset) => {
                let parent =
                    parent.ok_or_else(|| eyre::eyre!("no configuration has been published yet"))?;
                Change::Switch { parent, preset }
            }
        };
        let id = format!("{:x}", generate_incarnation());
        let record = Record { id, change };
        if !self.append(&record).await {
            return Ok(PublishOutcome::NotAppended);
        }
        self.await_outcome(replica, &record, wait_all).await
    }

    /// Appends a record and returns whether the log may contain it.
    async fn append(&self, record: &Record) -> bool {
        match self.log.append(CONFIG_STREAM, record.to_json()).await {
            Ok(_) => true,
            Err(err) => matches!(err.category(), Category::Ambiguous | Category::Malformed),
        }
    }

    /// Reads the log from the next offset of `replica` on until the record is accepted
    /// or rejected.
    async fn await_outcome(
        &self,
        mut replica: HeadReplica,
        record: &Record,
        wait_all: bool,
    ) -> Result<PublishOutcome> {
        let deadline = Instant::now() + self.timeout;
        while Instant::now() < deadline {
            let Ok(page) = self.log.read(CONFIG_STREAM, replica.next).await else {
                time::sleep(POLL_INTERVAL).await;
                continue;
            };
            for entry in &page.records {
                let outcome = replica.apply(entry.offset, &entry.body);
                if Record::from_json(&entry.body).is_none_or(|it| it.id != record.id) {
                    continue;
                }
                return Ok(match outcome {
                    ApplyOutcome::Accepted => {
                        self.await_routers(entry.offset, wait_all, deadline).await
                    }
                    _ => PublishOutcome::Conflict { head: replica.head_offset() },
                });
            }
            time::sleep(POLL_INTERVAL).await;
        }
        Ok(PublishOutcome::Unknown)
    }

    /// Waits until the head of one router, or of every router, reaches `offset`.
    ///
    /// At least one router is awaited, because a change that no router has read is
    /// lost if the log is lost.
    async fn await_routers(
        &self,
        offset: u64,
        wait_all: bool,
        deadline: Instant,
    ) -> PublishOutcome {
        let required = if wait_all { self.routers.len() } else { 1 };
        loop {
            let mut in_force = 0;
            for &router in &self.routers {
                let status = routers::fetch_status(router).await.ok();
                let has_reached = status.is_some_and(|it| it.head >= Some(offset));
                in_force += usize::from(has_reached);
            }
            let routers = self.routers.len();
            if in_force >= required {
                return PublishOutcome::Accepted { offset, in_force, routers };
            }
            if Instant::now() >= deadline {
                return if in_force > 0 {
                    PublishOutcome::Accepted { offset, in_force, routers }
                } else {
                    PublishOutcome::Unknown
                };
            }
            time::sleep(POLL_INTERVAL).await;
        }
    }
}
