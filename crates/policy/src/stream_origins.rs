//! Which build began each stream.
//!
//! Endpoints of several builds may serve one service, and only the build that began a
//! stream can continue it. A client may resume its stream at any gateway, also after the
//! one that served it has failed. Each gateway therefore remembers the streams that it
//! has begun, and sends each to a few other gateways, which rendezvous hashing selects,
//! so that any gateway knows whom to ask.

use std::{
    collections::{HashMap, VecDeque},
    net::Ipv4Addr,
};

use mimosaledge_core::{Millis, hash::rendezvous_score};
use serde::{Deserialize, Serialize};

use crate::membership::ring_position;

/// Time for which a stream is remembered, in milliseconds; longer than clients resume it.
const RETENTION_MS: u64 = 60_000;
/// Maximum number of streams that are remembered.
const MAX_STREAMS: usize = 50_000;

/// The build that began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Hash of the identifier of the client's attempt that received the first event.
    pub attempt: u64,
    /// Key of the build.
    pub build: u64,
}

/// The builds that began the latest streams.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    builds: HashMap<u64, u64>,
    /// The attempts in the order in which they were recorded.
    recorded: VecDeque<(Millis, u64)>,
}

impl StreamOrigins {
    /// Remembers the origin of a stream; one that is known stays.
    pub fn record(&mut self, origin: StreamOrigin, now: Millis) {
        self.remove_expired(now);
        if self.builds.contains_key(&origin.attempt) {
            return;
        }
        self.builds.insert(origin.attempt, origin.build);
        self.recorded.push_back((now, origin.attempt));
    }

    /// Returns the origin of the stream that `attempt` began, if it is known.
    pub fn find(&self, attempt: u64) -> Option<StreamOrigin> {
        self.builds.get(&attempt).map(|&build| StreamOrigin { attempt, build })
    }

    fn remove_expired(&mut self, now: Millis) {
        while let Some(&(at, attempt)) = self.recorded.front() {
            if now.since(at) < RETENTION_MS && self.recorded.len() < MAX_STREAMS {
                break;
            }
            self.recorded.pop_front();
            self.builds.remove(&attempt);
        }
    }
}

/// Returns the `count` gateways that remember the stream that `attempt` began, the first
/// choice first.
pub fn holders(
    attempt: u64,
    gateways: impl Iterator<Item = Ipv4Addr>,
    count: usize,
) -> Vec<Ipv4Addr> {
    let mut ranked: Vec<(f64, Ipv4Addr)> =
        gateways.map(|it| (rendezvous_score(attempt, ring_position(it), 1.0), it)).collect();
    ranked.sort_unstable_by(|a, b| b.0.total_cmp(&a.0));
    ranked.into_iter().take(count).map(|it| it.1).collect()
}
