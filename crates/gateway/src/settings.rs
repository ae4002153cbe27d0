//! Settings of a gateway.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddrV4},
    path::Path,
};

use eyre::{Context, Result, ensure};
use mimosaledge_core::Name;
use mimosaledge_policy::retry_budget::RetryLimit;
use serde::Deserialize;

/// Where a gateway listens.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For clients' requests.
    pub clients: SocketAddrV4,
    /// For readiness checks.
    pub ready: SocketAddrV4,
    /// For clients that ask which gateway to use.
    pub directory: SocketAddrV4,
    /// Port for traffic between gateways, over UDP and TCP.
    pub peers: u16,
    /// Port of the metrics.
    pub metrics: u16,
}

/// The platform's store.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Its address.
    pub address: SocketAddrV4,
}

/// Bounds that the operators set for the fleet.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Time that a stopping gateway has before it is killed, in seconds.
    pub grace_s: f64,
    /// Repeats allowed for each request to a service.
    pub retry_ratio: f64,
    /// Repeats allowed besides, in one window.
    pub retry_slack: f64,
    /// Length of that window, in seconds.
    pub retry_window_s: f64,
    /// Longest time that clients keep an answer of the directory, in seconds.
    pub directory_ttl_s: f64,
}

/// Settings of one gateway.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The VM's name.
    pub name: Name,
    /// The VM's address.
    pub address: Ipv4Addr,
    /// The VM's data centre.
    pub data_centre: Name,
    /// Where it listens.
    pub listen: Listen,
    /// Addresses of other gateways that may be up; a template that has none to
    /// fill in leaves this empty.
    #[serde(default)]
    pub seeds: Option<Vec<SocketAddrV4>>,
    /// The platform's store.
    pub store: StoreSettings,
    /// The operators' bounds.
    pub bounds: Bounds,
}

impl Bounds {
    /// Returns the bound on repeats.
    pub(crate) fn to_retry_limit(self) -> RetryLimit {
        RetryLimit {
            ratio: self.retry_ratio,
            slack: self.retry_slack,
            window_ms: (self.retry_window_s * 1_000.0) as u64,
        }
    }
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file and the first wrong setting.
    pub fn from_file(path: &Path) -> Result<Settings> {
        let text =
            fs::read_to_string(path).wrap_err_with(|| format!("cannot read {}", path.display()))?;
        Settings::from_text(&text).wrap_err_with(|| format!("wrong settings in {}", path.display()))
    }

    /// Reads and checks settings.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first wrong setting.
    pub fn from_text(text: &str) -> Result<Settings> {
        let settings: Settings = serde_saphyr::from_str(text)?;
        let bounds = settings.bounds;
        ensure!(!settings.name.is_empty(), "name is empty");
        ensure!(bounds.grace_s > 0.0, "bounds.grace_s must be positive");
        ensure!(bounds.retry_ratio >= 0.0, "bounds.retry_ratio must not be negative");
        ensure!(bounds.retry_slack >= 0.0, "bounds.retry_slack must not be negative");
        ensure!(bounds.retry_window_s > 0.0, "bounds.retry_window_s must be positive");
        ensure!(bounds.directory_ttl_s > 0.0, "bounds.directory_ttl_s must be positive");
        Ok(settings)
    }
}
