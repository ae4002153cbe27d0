use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// The name of a preset; exactly one preset is in force at any time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PresetName {
    /// Ordinary days.
    Ordinary,
    /// Peaks.
    Peak,
    /// Maintenance.
    Maintenance,
}

impl PresetName {
    /// Every preset, in the order of the documentation.
    pub const ALL: [PresetName; 3] =
        [PresetName::Ordinary, PresetName::Peak, PresetName::Maintenance];

    /// Returns the name as configurations spell it.
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

/// The limits that one preset sets.
#[derive(Debug, Clone, PartialEq)]
pub struct Preset {
    /// Highest load of an engine as a multiple of the mean load.
    pub load_bound: f64,
    /// Most requests that one engine runs at once.
    pub engine_slots: u32,
    /// Most requests that wait for one engine.
    pub queue_limit: u32,
    /// Longest silence inside an answer before it counts as broken, in
    /// milliseconds.
    pub progress_ms: u64,
    /// Retries allowed per hundred requests of a workspace.
    pub retry_percent: u32,
    /// Largest request body, in bytes.
    pub body_limit: usize,
}
