//! Incarnation numbers, which distinguish successive runs of a process.

use std::{
    collections::hash_map::RandomState,
    hash::{BuildHasher, Hasher},
    time::{SystemTime, UNIX_EPOCH},
};

const RANDOM_BITS: u32 = 20;

/// Generates an incarnation number: the current time in milliseconds in the high
/// bits, so that later runs have larger numbers, and random bits below.
pub fn generate_incarnation() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let random = RandomState::new().build_hasher().finish();
    (since_epoch.as_millis() as u64) << RANDOM_BITS | random >> (64 - RANDOM_BITS)
}
