//! Settings of one router process.

use std::{net::SocketAddr, path::Path};

use eyre::{Context, Result, eyre};
use mimosaledge_core::{config::ConfigError, name::Name, placement::PolicyName};
use mimosaledge_net::logging::LogLevel;
use serde::Deserialize;

/// The document kind that distinguishes router settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Settings of a router.
    Router,
}

/// Settings of one router process, read once at start.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Must be `router`.
    pub kind: Kind,
    /// Unique name.
    pub name: Name,
    /// Data centre.
    pub data_centre: Name,
    /// Region of the data centre.
    pub region: Name,
    /// Address of the callers' port.
    pub http: SocketAddr,
    /// Address of the peer port.
    pub peer: SocketAddr,
    /// Address of the operators' port.
    pub ops: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Peer ports of routers to ask before the VM list is known.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Placement policy.
    #[serde(default)]
    pub policy: PolicyName,
    /// Least severe level that is logged.
    #[serde(default)]
    pub log_level: LogLevel,
    /// Intervals and limits.
    #[serde(default)]
    pub limits: Limits,
}

/// Intervals and limits, with defaults that suit most fleets.
#[derive(Debug, Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Interval between gossip rounds, in milliseconds.
    pub gossip_ms: u64,
    /// Peers told in each gossip round.
    pub gossip_fanout: usize,
    /// Gossip sent, in bytes per second; rounds are spaced out to stay within
    /// it.
    pub gossip_bytes: u64,
    /// Interval between rounds that tell loads, in milliseconds.
    pub load_ms: u64,
    /// Interval between probes of an endpoint, in milliseconds.
    pub probe_ms: u64,
    /// Interval between reads of the log, in milliseconds.
    pub follow_ms: u64,
    /// Interval between reads of the VM list, in milliseconds.
    pub list_ms: u64,
    /// How long callers keep a locate answer, in milliseconds.
    pub keep_ms: u64,
    /// Longest time that a planned stop waits for open requests, in
    /// milliseconds.
    pub drain_ms: u64,
    /// Longest wait for a connection to an endpoint, in milliseconds.
    pub connect_ms: u64,
    /// Longest time that a caller may leave a full buffer unread, in
    /// milliseconds.
    pub caller_ms: u64,
    /// Idempotency keys kept as home, and as many as witness.
    pub keys: usize,
    /// Memory for answers kept by key, in bytes.
    pub kept_bytes: usize,
    /// Longest answer kept by key, in bytes.
    pub kept_answer: usize,
    /// Records between snapshots of the configuration.
    pub snapshot_every: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            gossip_ms: 500,
            gossip_fanout: 2,
            gossip_bytes: 2_000,
            load_ms: 100,
            probe_ms: 500,
            follow_ms: 1_000,
            list_ms: 2_000,
            keep_ms: 2_000,
            drain_ms: 60_000,
            connect_ms: 250,
            caller_ms: 10_000,
            keys: 20_000,
            kept_bytes: 8 << 20,
            kept_answer: 64 << 10,
            snapshot_every: 500,
        }
    }
}

impl Settings {
    /// Parses settings.
    ///
    /// # Errors
    ///
    /// Returns an error with its position for broken YAML, an unknown or
    /// missing field or a value of a wrong type, and an error if an interval
    /// is zero.
    pub fn from_yaml(text: &str) -> Result<Settings> {
        let settings: Settings = serde_saphyr::from_str(text)
            .map_err(ConfigError::from_yaml)
            .map_err(|err| eyre!(err))?;
        let limits = &settings.limits;
        let intervals = [
            ("gossip_ms", limits.gossip_ms),
            ("gossip_bytes", limits.gossip_bytes),
            ("load_ms", limits.load_ms),
            ("probe_ms", limits.probe_ms),
            ("follow_ms", limits.follow_ms),
            ("list_ms", limits.list_ms),
            ("connect_ms", limits.connect_ms),
        ];
        match intervals.iter().find(|(_, value)| *value == 0) {
            Some((name, _)) => Err(eyre!("limits.{name} must be above 0")),
            None => Ok(settings),
        }
    }

    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// As [`Settings::from_yaml`], and if the file cannot be read.
    pub fn from_file(path: &Path) -> Result<Settings> {
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("cannot read {}", path.display()))?;
        Settings::from_yaml(&text).wrap_err_with(|| path.display().to_string())
    }
}
