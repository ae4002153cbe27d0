//! Settings of a router process.

use std::{net::SocketAddr, path::Path};

use eyre::{Context, Result, eyre};
use mimosaledge_core::{config::ConfigError, name::Name, placement::PolicyName};
use mimosaledge_net::logging::LogLevel;
use serde::Deserialize;

/// The document kind, which distinguishes router settings from other documents.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Settings of a router.
    Router,
}

/// Settings of a router process, read once at startup.
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
    /// HTTP address for clients.
    pub http: SocketAddr,
    /// Address for datagrams and state transfers between routers.
    pub peer: SocketAddr,
    /// HTTP address for operators.
    pub ops: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Peer addresses of routers to contact while no live peer is known.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Placement policy.
    #[serde(default)]
    pub policy: PolicyName,
    /// Minimum severity that is logged.
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
    /// Number of peers to which each gossip round is sent.
    pub gossip_fanout: usize,
    /// Maximum average rate of gossip sent, and likewise of engine loads, in bytes per
    /// second; rounds are spaced out to stay within it.
    pub gossip_bytes: u64,
    /// Interval between exchanges of engine loads, in milliseconds.
    pub load_ms: u64,
    /// Interval between probes of an endpoint, in milliseconds.
    pub probe_ms: u64,
    /// Interval between polls of the log and of peers with newer state, in
    /// milliseconds.
    pub follow_ms: u64,
    /// Interval between polls of the VM list, in milliseconds.
    pub list_ms: u64,
    /// Time for which clients may cache a `/locate` response, in milliseconds.
    pub keep_ms: u64,
    /// Maximum time that a graceful shutdown waits for open requests and for the
    /// transfer of key outcomes, in milliseconds.
    pub drain_ms: u64,
    /// Timeout for connecting to an endpoint, in milliseconds.
    pub connect_ms: u64,
    /// Maximum time for which a client may leave a full send buffer unread, in
    /// milliseconds.
    pub caller_ms: u64,
    /// Maximum number of idempotency keys kept as home, and likewise as witness.
    pub keys: usize,
    /// Maximum memory for responses kept by idempotency key, in bytes.
    pub kept_bytes: usize,
    /// Maximum size of a response kept by idempotency key, in bytes.
    pub kept_answer: usize,
    /// Number of log records between snapshots of the configuration head.
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
    /// Parses settings from YAML.
    ///
    /// # Errors
    ///
    /// Returns an error with its position for invalid YAML, an unknown or missing
    /// field or a value of the wrong type, and an error if an interval or the
    /// gossip rate is zero.
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
    /// Returns an error if the file cannot be read, and the errors of
    /// [`Settings::from_yaml`].
    pub fn from_file(path: &Path) -> Result<Settings> {
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("cannot read {}", path.display()))?;
        Settings::from_yaml(&text).wrap_err_with(|| path.display().to_string())
    }
}
