//! Counts and logs what was refused or given up for want of memory.

use std::cell::Cell;

use mimosaledge_core::Millis;

use crate::{gateway::Gateway, memory::MemoryCounts};

/// Minimum interval between two lines of the log, in milliseconds.
const LOG_INTERVAL_MS: u64 = 1_000;

/// What has been reported.
#[derive(Debug, Default)]
pub(crate) struct MemoryReport {
    counted: Cell<MemoryCounts>,
    logged: Cell<MemoryCounts>,
    logged_at: Cell<Millis>,
}

impl MemoryReport {
    /// Updates the metrics, and logs decisions against clients since the last line.
    pub(crate) fn update(&self, gateway: &Gateway) {
        let memory = &gateway.memory;
        gateway.metrics.held_bytes.set(memory.held_bytes() as i64);
        gateway.metrics.client_connections.set(memory.connections() as i64);
        let counts = memory.counts();
        self.count(gateway, counts);
        let now = gateway.now();
        if counts == self.logged.get() || now.since(self.logged_at.get()) < LOG_INTERVAL_MS {
            return;
        }
        let before = self.logged.replace(counts);
        self.logged_at.set(now);
        let limits = memory.limits();
        spdlog::warn!(
            "memory: held_kb={} limit_kb={} connections={} max_connections={} \
             refused_connections={} refused_bytes={} yielded_requests={} yielded_connections={}",
            memory.held_bytes() >> 10,
            limits.total_bytes >> 10,
            memory.connections(),
            limits.connections,
            counts.refused_connections - before.refused_connections,
            counts.refused_bytes - before.refused_bytes,
            counts.yielded_requests - before.yielded_requests,
            counts.yielded_connections - before.yielded_connections
        );
    }

    fn count(&self, gateway: &Gateway, counts: MemoryCounts) {
        let before = self.counted.replace(counts);
        let added = [
            ("refused_connection", counts.refused_connections - before.refused_connections),
            ("refused_bytes", counts.refused_bytes - before.refused_bytes),
            ("yielded_request", counts.yielded_requests - before.yielded_requests),
            ("yielded_connection", counts.yielded_connections - before.yielded_connections),
        ];
        for (decision, number) in added {
            gateway.metrics.memory_decisions.with_label_values(&[decision]).inc_by(number);
        }
    }
}
