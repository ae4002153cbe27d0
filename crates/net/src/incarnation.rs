//! Numbers that tell the runs of one process apart.

use std::{
    collections::hash_map::RandomState,
    hash::{BuildHasher, Hasher},
    time::{SystemTime, UNIX_EPOCH},
};

const RANDOM_BITS: u32 = 20;

/// Draws the incarnation of this run: the start time in milliseconds in the
/// high bits and random bits below.
pub fn draw_incarnation() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let random = RandomState::new().build_hasher().finish();
    (since_epoch.as_millis() as u64) << RANDOM_BITS | random >> (64 - RANDOM_BITS)
}
