//! Which rejected datagrams are logged: one a sender and minute.

use std::{collections::HashMap, net::Ipv4Addr};

use mimosaledge_core::Millis;

/// Minimum time between two log lines on one sender, in milliseconds.
const LOG_INTERVAL_MS: u64 = 60_000;
/// Maximum number of senders that are remembered; those beyond it are not logged.
const MAX_SENDERS: usize = 1_024;

/// The senders of rejected datagrams, with the time of the last log line on each.
#[derive(Debug, Default)]
pub struct Rejections {
    logged: HashMap<Ipv4Addr, Millis>,
}

impl Rejections {
    /// Records a rejected datagram; returns whether to log it.
    pub fn record(&mut self, from: Ipv4Addr, now: Millis) -> bool {
        if self.logged.get(&from).is_some_and(|at| now.since(*at) < LOG_INTERVAL_MS) {
            return false;
        }
        if self.logged.len() >= MAX_SENDERS {
            self.logged.retain(|_, at| now.since(*at) < LOG_INTERVAL_MS);
        }
        let is_logged = self.logged.len() < MAX_SENDERS;
        if is_logged {
            self.logged.insert(from, now);
        }
        is_logged
    }
}
