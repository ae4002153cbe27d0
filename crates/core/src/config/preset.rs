use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// Name of a preset; exactly one preset is active at any time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PresetName {
    /// Normal operation.
    Ordinary,
    /// Peak load.
    Peak,
    /// Maintenance work.
    Maintenance,
}

impl PresetName {
    /// All preset names, in the order of the documentation.
    pub const ALL: [PresetName; 3] =
        [PresetName::Ordinary, PresetName::Peak, PresetName::Maintenance];

    /// Returns the name as written in configurations.
    pub fn as_str(self) -> &'static str {
        match self {
            PresetName::Ordinary => "ordinary",
            PresetName::Peak => "peak",
            PresetName::Maintenance => "maintenance",
        }
    }
}

impl fmt::Display for PresetName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for PresetName {
    type Err = String;

    fn from_str(text: &str) -> Result<PresetName, String> {
        PresetName::ALL
            .into_iter()
            .find(|preset| preset.as_str() == text)
            .ok_or_else(|| format!("unknown preset {text}"))
    }
}

/// Limits set by a preset.
#[derive(Debug, Clone, PartialEq)]
pub struct Preset {
    /// Upper bound on the load of an engine, as a multiple of the mean load.
    pub load_bound: f64,
    /// Upper bound on concurrent requests per engine.
    pub engine_slots: u32,
    /// Upper bound on queued requests per engine.
    pub queue_limit: u32,
    /// Longest pause within a response before it counts as broken, in milliseconds.
    pub progress_ms: u64,
    /// Retry budget per hundred requests of a workspace.
    pub retry_percent: u32,
    /// Upper bound on the size of a request body, in bytes.
    pub body_limit: usize,
}
