//! Records of the configuration stream in the platform's log.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{config::PresetName, head::Head};

/// One record of the configuration stream, stored as JSON.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Unique identifier by which a writer finds its own record in the log.
    pub id: String,
    /// Requested change.
    pub change: Change,
}

/// The change that a record requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum Change {
    /// Replaces the configuration and keeps the preset.
    Publish {
        /// Offset of the head on which the change is based; `None` if there is none.
        parent: Option<u64>,
        /// New configuration as YAML.
        text: Arc<str>,
    },
    /// Switches the preset and keeps the configuration.
    Switch {
        /// Offset of the head on which the change is based.
        parent: u64,
        /// Preset to activate.
        preset: PresetName,
    },
    /// Snapshot of the head, for readers that start after the log has dropped older
    /// records.
    Snapshot {
        /// Offset of the next record that the writer would have read.
        next: u64,
        /// Head after all records below `next`.
        head: Head,
    },
}

impl Record {
    /// Encodes the record for the log.
    pub fn to_json(&self) -> String {
        // A record holds only strings and numbers, which always encode as JSON.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Decodes a record; returns `None` if `text` is not a valid record.
    pub fn from_json(text: &str) -> Option<Record> {
        serde_json::from_str(text).ok()
    }
}
