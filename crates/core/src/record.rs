//! Records of the configuration stream in the platform's log.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{config::PresetName, head::Head};

/// One record of the configuration stream, stored as JSON.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Unique identifier that lets a writer recognise its own record.
    pub id: String,
    /// What the record asks for.
    pub change: Change,
}

/// The change that a record asks for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum Change {
    /// Replaces the configuration.
    Publish {
        /// Offset of the head that the change was based on; `None` for the first.
        parent: Option<u64>,
        /// The configuration as YAML.
        text: Arc<str>,
    },
    /// Switches the preset.
    Switch {
        /// Offset of the head that the change was based on.
        parent: u64,
        /// The preset to put in force.
        preset: PresetName,
    },
    /// Restates the head so that readers survive the loss of older records.
    Snapshot {
        /// Offset up to which the writer had read, exclusive.
        next: u64,
        /// The head after those records.
        head: Head,
    },
}

impl Record {
    /// Encodes the record for the log.
    pub fn to_json(&self) -> String {
        // Records hold only strings and numbers, whose encoding cannot fail.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Decodes a record; returns `None` if the text is not one.
    pub fn from_json(text: &str) -> Option<Record> {
        serde_json::from_str(text).ok()
    }
}
