//! Settings of the steward process.

use std::{net::SocketAddr, path::Path};

use eyre::{Result, WrapErr, eyre};
use mimosaledge_core::{config::ConfigError, name::Name};
use mimosaledge_net::logging::LogLevel;
use serde::Deserialize;

/// The `kind` field, which distinguishes steward settings from other documents.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Steward settings.
    Steward,
}

/// Settings of one steward process, read once at startup.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Must be `steward`.
    pub kind: Kind,
    /// Unique name of the steward.
    pub name: Name,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Maximum rate at which the engines may load weights from the weight store, in
    /// mebibytes per second.
    pub weight_mib_per_s: u64,
    /// Interval between polls of the engines, in milliseconds.
    #[serde(rename = "look_ms", default = "default_poll_ms")]
    pub poll_ms: u64,
    /// Minimum severity of log records that are written.
    #[serde(default)]
    pub log_level: LogLevel,
}

fn default_poll_ms() -> u64 {
    500
}

impl Settings {
    /// Parses settings from YAML.
    ///
    /// # Errors
    ///
    /// Returns an error with its position for invalid YAML or an unknown or
    /// missing field, and an error if a rate or an interval is zero.
    pub fn from_yaml(text: &str) -> Result<Settings> {
        let settings: Settings = serde_saphyr::from_str(text)
            .map_err(ConfigError::from_yaml)
            .map_err(|err| eyre!(err))?;
        if settings.weight_mib_per_s == 0 || settings.poll_ms == 0 {
            return Err(eyre!("weight_mib_per_s and look_ms must be above 0"));
        }
        Ok(settings)
    }

    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, and the errors of
    /// [`Settings::from_yaml`].
    pub fn from_file(path: &Path) -> Result<Settings> {
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("cannot read {}", path.display()))?;
        Settings::from_yaml(&text).wrap_err_with(|| path.display().to_string())
    }
}
