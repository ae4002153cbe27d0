//! Settings of a gateway, read from a YAML file.

use std::{
    collections::BTreeMap,
    env, fs,
    net::{Ipv4Addr, SocketAddrV4},
    path::Path,
};

use eyre::{Context, Report, Result, bail, ensure, eyre};
use mimosaledge_core::{Name, hash::hash32};
use mimosaledge_policy::{PolicySettings, memory_limits::MemoryLimits, retry_budget::RetryLimit};
use serde::Deserialize;

/// Environment variable with the memory of the process, in MB.
const MEMORY_VARIABLE: &str = "MIMOSALEDGE_MEMORY_MB";
/// Environment variable with the maximum number of file descriptors.
const FDS_VARIABLE: &str = "MIMOSALEDGE_MAX_FDS";
/// Environment variable with the region of each data centre, as a YAML or JSON map.
const REGIONS_VARIABLE: &str = "MIMOSALEDGE_REGIONS";

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

/// What the VM gives to the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    /// Memory at which the process is killed, in MB.
    #[serde(default)]
    pub memory_mb: Option<u64>,
    /// Maximum number of open file descriptors.
    #[serde(default)]
    pub max_fds: Option<u64>,
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
    /// What the VM gives to the process.
    #[serde(default)]
    pub machine: Machine,
    /// Region of each data centre; empty if it does not matter.
    #[serde(default)]
    pub regions: BTreeMap<Name, Name>,
    /// Settings of the policies.
    #[serde(default)]
    pub policy: PolicySettings,
}

impl Settings {
    /// Returns the region of a data centre, if it is known.
    pub(crate) fn region_of(&self, data_centre: &str) -> Option<&Name> {
        self.regions.get(data_centre)
    }

    /// Returns the hash of the name of this gateway's region, or 0 if the fleet has only one.
    pub(crate) fn region_hash(&self) -> u32 {
        let Some(own) = self.region_of(&self.data_centre) else { return 0 };
        let is_only = self.regions.values().all(|it| it == own);
        if is_only { 0 } else { hash32(own.as_bytes()) }
    }

    /// Adds the settings that the template leaves to the environment, which gateways of earlier
    /// builds ignore; `variable` returns the value of a variable.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first invalid variable.
    pub fn apply_environment(&mut self, variable: impl Fn(&str) -> Option<String>) -> Result<()> {
        let given = |name: &str| variable(name).filter(|it| !it.is_empty());
        let number = |name: &str| -> Result<Option<u64>> {
            let parse = |it: String| it.parse().wrap_err_with(|| format!("invalid {name}"));
            given(name).map(parse).transpose()
        };
        self.machine.memory_mb = self.machine.memory_mb.or(number(MEMORY_VARIABLE)?);
        self.machine.max_fds = self.machine.max_fds.or(number(FDS_VARIABLE)?);
        if let Some(regions) = given(REGIONS_VARIABLE).filter(|_| self.regions.is_empty()) {
            self.regions = serde_saphyr::from_str(&regions)
                .wrap_err_with(|| format!("invalid {REGIONS_VARIABLE}"))?;
        }
        Ok(())
    }

    /// Returns the limits on what is held for clients.
    pub(crate) fn memory_limits(&self) -> MemoryLimits {
        MemoryLimits::derive(&self.policy, self.machine.memory_mb, self.machine.max_fds)
    }

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
        let mut settings = Settings::from_text(&text)
            .wrap_err_with(|| format!("wrong settings in {}", path.display()))?;
        settings.apply_environment(|name| env::var(name).ok())?;
        Ok(settings)
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
