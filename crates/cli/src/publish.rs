//! Publishing configurations and switching presets.

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

/// Longest wait for the log.
const LOG_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between two looks at the log or the routers.
const PAUSE: Duration = Duration::from_millis(50);

/// What became of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum Published {
    /// The change won; a router holds it.
    Accepted {
        /// Offset of the record.
        offset: u64,
        /// Routers that have it in force.
        in_force: usize,
        /// Routers asked.
        routers: usize,
    },
    /// Another operator's change came first.
    Conflict {
        /// Offset of the head that won.
        head: Option<u64>,
    },
    /// The log did not take the record.
    NotAppended,
    /// The log may have taken the record, but cannot be read.
    Unknown,
}

impl Published {
    /// Returns the exit status of the command.
    pub fn exit_status(&self) -> i32 {
        match self {
            Published::Accepted { .. } => 0,
            Published::Conflict { .. } => 3,
            Published::NotAppended => 4,
            Published::Unknown => 5,
        }
    }
}

/// What to change.
#[derive(Debug, Clone)]
pub enum Wanted {
    /// Publish this configuration.
    Configuration(String),
    /// Switch to this preset.
    Preset(PresetName),
}

/// Appends changes to the log and finds out what became of them.
#[derive(Debug, Clone)]
pub struct Publisher {
    log: HttpLog,
    routers: Vec<SocketAddr>,
    limit: Duration,
}

impl Publisher {
    /// Creates a publisher that appends at `platform`, learns the head from
    /// the operators' ports `routers`, and gives up after `limit`.
    pub fn new(platform: SocketAddr, routers: Vec<SocketAddr>, limit: Duration) -> Publisher {
        let log = HttpLog::new(platform, LOG_TIMEOUT, Meter::default());
        Publisher { log, routers, limit }
    }

    /// Makes a change on top of the routers' present head.
    ///
    /// # Errors
    ///
    /// Returns an error if no router tells its head.
    pub async fn change(&self, wanted: Wanted, wait_all: bool) -> Result<Published> {
        let fold = routers::head(&self.routers).await?;
        self.change_from(fold, wanted, wait_all).await
    }

    /// Makes a change on top of the head in `fold`.
    ///
    /// # Errors
    ///
    /// Returns an error if a preset is switched before a configuration exists.
    pub async fn change_from(
        &self,
        fold: HeadReplica,
        wanted: Wanted,
        wait_all: bool,
    ) -> Result<Published> {
        let parent = fold.head_offset();
        let change = match wanted {
            Wanted::Configuration(text) => Change::Publish { parent, text: Arc::from(text) },
            Wanted::Preset(preset) => {
                let parent = parent.ok_or_else(|| eyre::eyre!("no configuration to switch"))?;
                Change::Switch { parent, preset }
            }
        };
        let id = format!("{:x}", generate_incarnation());
        let record = Record { id, change };
        if !self.append(&record).await {
            return Ok(Published::NotAppended);
        }
        self.judge(fold, &record, wait_all).await
    }

    /// Appends a record; returns whether the log may hold it.
    async fn append(&self, record: &Record) -> bool {
        match self.log.append(CONFIG_STREAM, record.to_json()).await {
            Ok(_) => true,
            Err(err) => matches!(err.category(), Category::Ambiguous | Category::Malformed),
        }
    }

    /// Reads the log on from `fold` until the record's fate is known.
    async fn judge(
        &self,
        mut fold: HeadReplica,
        record: &Record,
        wait_all: bool,
    ) -> Result<Published> {
        let deadline = Instant::now() + self.limit;
        while Instant::now() < deadline {
            let Ok(page) = self.log.read(CONFIG_STREAM, fold.next).await else {
                time::sleep(PAUSE).await;
                continue;
            };
            for entry in &page.records {
                let verdict = fold.apply(entry.offset, &entry.body);
                if Record::from_json(&entry.body).is_none_or(|it| it.id != record.id) {
                    continue;
                }
                return Ok(match verdict {
                    ApplyOutcome::Accepted => self.confirm(entry.offset, wait_all, deadline).await,
                    _ => Published::Conflict { head: fold.head_offset() },
                });
            }
            time::sleep(PAUSE).await;
        }
        Ok(Published::Unknown)
    }

    /// Waits until one router, or every router, has the record in force.
    ///
    /// A change that no router holds yet could still be lost with the log.
    async fn confirm(&self, offset: u64, wait_all: bool, deadline: Instant) -> Published {
        let wanted = if wait_all { self.routers.len() } else { 1 };
        loop {
            let mut in_force = 0;
            for &router in &self.routers {
                let status = routers::status(router).await.ok();
                let held = status.is_some_and(|it| it.head >= Some(offset));
                in_force += usize::from(held);
            }
            let routers = self.routers.len();
            if in_force >= wanted {
                return Published::Accepted { offset, in_force, routers };
            }
            if Instant::now() >= deadline {
                return if in_force > 0 {
                    Published::Accepted { offset, in_force, routers }
                } else {
                    Published::Unknown
                };
            }
            time::sleep(PAUSE).await;
        }
    }
}
