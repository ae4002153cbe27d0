//! Settings of a gateway, read from a YAML file.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddrV4},
    path::Path,
};

use eyre::{Context, Report, Result, bail, ensure, eyre};
use mimosaledge_core::Name;
use mimosaledge_policy::{PolicySettings, retry_budget::RetryLimit};
use serde::Deserialize;

/// Addresses and ports on which a gateway listens.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Address for client requests.
    pub clients: SocketAddrV4,
    /// Address for readiness checks.
    pub ready: SocketAddrV4,
    /// Address of the directory, which tells clients which gateway to use.
    pub directory: SocketAddrV4,
    /// Port for traffic between gateways, over UDP and TCP.
    pub peers: u16,
    /// Port for requests that other gateways hand over.
    pub forward: u16,
    /// Port for metrics.
    pub metrics: u16,
}

/// Settings of the platform's store.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Address of the store.
    pub address: SocketAddrV4,
}

/// Limits that the operators set for the fleet.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Time after a stop signal at which the process is killed, in seconds.
    pub grace_s: f64,
    /// Retries allowed per request to a service.
    pub retry_ratio: f64,
    /// Additional retries allowed per window.
    pub retry_slack: f64,
    /// Length of the window, in seconds.
    pub retry_window_s: f64,
    /// Maximum time for which clients cache a directory response, in seconds.
    pub directory_ttl_s: f64,
}

/// Settings of one gateway.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the VM.
    pub name: Name,
    /// Address of the VM.
    pub address: Ipv4Addr,
    /// Data centre of the VM.
    pub data_centre: Name,
    /// Addresses and ports on which the gateway listens.
    pub listen: Listen,
    /// Addresses of other gateways that may be running. May be null, since a
    /// template without seeds leaves the value empty.
    #[serde(default)]
    pub seeds: Option<Vec<SocketAddrV4>>,
    /// Whether the whole fleet starts for the first time, so that none of its retry
    /// allowance can have been used.
    #[serde(default)]
    pub first_start: bool,
    /// The platform's store.
    pub store: StoreSettings,
    /// The operators' limits.
    pub bounds: Bounds,
    /// Settings of the policies.
    #[serde(default)]
    pub policy: PolicySettings,
}

impl Settings {
    /// Returns the limit on retries.
    pub(crate) fn to_retry_limit(&self) -> RetryLimit {
        RetryLimit {
            ratio: self.bounds.retry_ratio,
            slack: self.bounds.retry_slack,
            window_ms: (self.bounds.retry_window_s * 1_000.0) as u64,
            usable_share: self.policy.retry_share,
        }
    }

    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file and the first invalid setting.
    pub fn from_file(path: &Path) -> Result<Settings> {
        let text =
            fs::read_to_string(path).wrap_err_with(|| format!("cannot read {}", path.display()))?;
        Settings::from_text(&text).wrap_err_with(|| format!("wrong settings in {}", path.display()))
    }

    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first invalid setting.
    pub fn from_text(text: &str) -> Result<Settings> {
        let settings: Settings =
            serde_saphyr::from_str(text).map_err(|err| first_line(&err.to_string()))?;
        let bounds = settings.bounds;
        ensure!(!settings.name.is_empty(), "name is empty");
        ensure!(bounds.grace_s > 0.0, "bounds.grace_s must be positive");
        ensure!(bounds.retry_ratio >= 0.0, "bounds.retry_ratio must not be negative");
        ensure!(bounds.retry_slack >= 0.0, "bounds.retry_slack must not be negative");
        ensure!(bounds.retry_window_s > 0.0, "bounds.retry_window_s must be positive");
        ensure!(bounds.directory_ttl_s > 0.0, "bounds.directory_ttl_s must be positive");
        if let Err(err) = settings.policy.validate() {
            let line = text.lines().position(|it| it.trim_start().starts_with(err.key()));
            bail!("line {}: {err}", line.map_or(0, |it| it + 1));
        }
        Ok(settings)
    }
}

/// Returns the first line of a parser's message, which names the line and the key;
/// the following ones show the text.
fn first_line(message: &str) -> Report {
    let line = message.lines().next().unwrap_or_default();
    eyre!("{}", line.trim_start_matches("error: "))
}
