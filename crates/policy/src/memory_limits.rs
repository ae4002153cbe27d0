//! Limits on what a gateway holds for its clients, derived from its VM.

use crate::settings::PolicySettings;

/// Memory of a VM that the settings do not tell, in MB.
const DEFAULT_MEMORY_MB: u64 = 256;
/// Descriptors of a process that the settings do not tell.
const DEFAULT_MAX_FDS: u64 = 4_096;
/// Descriptors kept for files, the store, other gateways and operators; at most half of all.
const RESERVED_FDS: u64 = 264;
/// Descriptors for each client's connection: its own, one to an endpoint, an idle one, and one
/// for connections that are not those of clients.
const FDS_PER_CONNECTION: u64 = 4;
/// Memory that each connection takes without a request, in bytes: buffers of the process and
/// of the kernel.
const CONNECTION_BYTES: usize = 48 << 10;
/// Size up to which what is held for a connection counts as small, in bytes.
const SMALL_BYTES: usize = 128 << 10;
/// Share of the budget that only small holdings may take.
const SMALL_SHARE: f64 = 0.25;
/// Greatest share of the budget that connections without requests may take.
const CONNECTION_SHARE: f64 = 0.5;
/// Connections of each kind that are not those of clients, as a share of these.
const OTHER_SHARE: f64 = 0.25;

/// Limits on what a gateway holds for its clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryLimits {
    /// All that is held, in bytes.
    pub total_bytes: usize,
    /// What is held beyond the small parts, in bytes.
    pub large_bytes: usize,
    /// The same for one workspace, in bytes.
    pub workspace_bytes: usize,
    /// Size up to which what is held for a connection counts as small, in bytes.
    pub small_bytes: usize,
    /// What a connection without a request counts, in bytes.
    pub connection_bytes: usize,
    /// Number of connections.
    pub connections: usize,
    /// Number of connections of other gateways on top, and of each listener that serves no
    /// requests of clients.
    pub other_connections: usize,
    /// Time without progress after which a connection may have to give way, in milliseconds.
    pub stall_ms: u64,
}

impl MemoryLimits {
    /// Derives the limits of a process with `memory_mb` of memory and `max_fds` descriptors.
    pub fn derive(
        settings: &PolicySettings,
        memory_mb: Option<u64>,
        max_fds: Option<u64>,
    ) -> MemoryLimits {
        let memory_mb = memory_mb.unwrap_or(DEFAULT_MEMORY_MB);
        let max_fds = max_fds.unwrap_or(DEFAULT_MAX_FDS);
        let total_bytes = share_of(memory_mb.saturating_mul(1 << 20) as usize, settings.held_share);
        let large_bytes = share_of(total_bytes, 1.0 - SMALL_SHARE);
        let usable_fds = max_fds - RESERVED_FDS.min(max_fds / 2);
        let by_fds = (usable_fds / FDS_PER_CONNECTION) as usize;
        let by_memory = share_of(total_bytes, CONNECTION_SHARE) / CONNECTION_BYTES;
        let connections = by_fds.min(by_memory).max(1);
        MemoryLimits {
            total_bytes,
            large_bytes,
            workspace_bytes: share_of(large_bytes, settings.workspace_share),
            small_bytes: SMALL_BYTES,
            connection_bytes: CONNECTION_BYTES,
            connections,
            other_connections: share_of(connections, OTHER_SHARE).max(1),
            stall_ms: settings.stall_ms,
        }
    }
}

fn share_of(value: usize, share: f64) -> usize {
    (value as f64 * share) as usize
}
