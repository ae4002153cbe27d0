//! Stable hash functions, with equal results in every process.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed, xxh3_128};

/// Hashes `bytes` to 64 bits.
pub fn hash64(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Hashes `bytes` to 32 bits, for compact identifiers in datagrams.
pub fn hash32(bytes: &[u8]) -> u32 {
    xxh3_64(bytes) as u32
}

/// Hashes `bytes` to 128 bits, for identifiers that must not collide in practice.
pub fn hash128(bytes: &[u8]) -> u128 {
    xxh3_128(bytes)
}

/// Returns the score of `node` for `key` in weighted rendezvous hashing; the node
/// with the highest score owns the key.
///
/// A node owns a share of the keys proportional to its weight, and removing a
/// node reassigns only the keys that it owned.
pub fn rendezvous_score(key: u64, node: u64, weight: f64) -> f64 {
    let hash = xxh3_64_with_seed(&node.to_le_bytes(), key);
    // The upper 53 bits give a uniform value strictly between 0 and 1.
    let uniform = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    weight / -uniform.ln()
}
