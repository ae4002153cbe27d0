//! Which build began each stream.
//!
//! Endpoints of several builds may serve one service, and only the build that began a
//! stream can continue it. A client may resume its stream at any gateway, also after the
//! one that served it has failed. Each gateway therefore remembers the streams that it
//! has begun, and sends each to other gateways, which rendezvous hashing ranks, so that any
//! gateway knows whom to ask: to the first few at once, and to as many more as the traffic
//! allows with the next heartbeat.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::Ipv4Addr,
};

use mimosaledge_core::{Millis, hash::rendezvous_score};
use serde::{Deserialize, Serialize};

use crate::membership::ring_position;

/// Time for which a stream is remembered, in milliseconds; longer than clients resume it.
const RETENTION_MS: u64 = 60_000;
/// Maximum number of streams that are remembered.
const MAX_STREAMS: usize = 50_000;
/// Bytes of copies that a gateway of a fleet sends per second in which each gateway sends
/// heartbeats to all others.
const MESH_BYTES_PER_S: u64 = 8_000;
/// The same in a larger fleet, where a copy fills a datagram of its own.
const LARGE_BYTES_PER_S: u64 = 500;
/// Bytes of one origin in a datagram with several.
const ORIGIN_BYTES: u64 = 10;
/// Bytes of such a datagram without its origins: headers of IP and UDP, kind, build, footer.
const DATAGRAM_BYTES: u64 = 47;

/// The build that began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Hash of the identifier of the client's attempt that received the first event.
    pub attempt: u64,
    /// Key of the build.
    pub build: u64,
}

/// Streams that one build began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BuildOrigins {
    /// Key of the build.
    pub build: u64,
    /// Hashes of the attempts that began the streams.
    pub attempts: Vec<u64>,
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

    /// Returns the number of streams that are remembered.
    pub fn count(&self) -> usize {
        self.builds.len()
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

/// Returns the bytes of copies that a gateway may send in a round of `interval_ms`.
pub fn copy_allowance(is_large: bool, interval_ms: u64) -> u64 {
    let bytes_per_s = if is_large { LARGE_BYTES_PER_S } else { MESH_BYTES_PER_S };
    bytes_per_s * interval_ms / 1_000
}

/// Returns which of the streams `begun` to send to which of `gateways`, after the first `told`
/// holders of each were told: to the next holder of all streams, then to the one after that,
/// until `allowance` bytes are used up.
pub fn plan_copies(
    begun: &[StreamOrigin],
    gateways: &[Ipv4Addr],
    told: usize,
    mut allowance: u64,
) -> BTreeMap<Ipv4Addr, Vec<BuildOrigins>> {
    let ranked: Vec<Vec<Ipv4Addr>> = begun
        .iter()
        .map(|it| holders(it.attempt, gateways.iter().copied(), gateways.len()))
        .collect();
    let mut copies: BTreeMap<Ipv4Addr, Vec<BuildOrigins>> = BTreeMap::new();
    for rank in told..gateways.len() {
        for (origin, ranked) in begun.iter().zip(&ranked) {
            let to = ranked[rank];
            let is_first = !copies.contains_key(&to);
            let bytes = ORIGIN_BYTES + if is_first { DATAGRAM_BYTES } else { 0 };
            if bytes > allowance {
                return copies;
            }
            allowance -= bytes;
            add_origin(copies.entry(to).or_default(), *origin);
        }
    }
    copies
}

fn add_origin(groups: &mut Vec<BuildOrigins>, origin: StreamOrigin) {
    match groups.iter_mut().find(|it| it.build == origin.build) {
        Some(group) => group.attempts.push(origin.attempt),
        None => groups.push(BuildOrigins { build: origin.build, attempts: vec![origin.attempt] }),
    }
}
