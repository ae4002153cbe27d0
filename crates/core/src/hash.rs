//! Stable hashes that every process computes alike.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed, xxh3_128};

/// Hashes `bytes` to 64 bits.
pub fn hash64(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Hashes `bytes` to 32 bits, for compact identifiers in datagrams.
pub fn hash32(bytes: &[u8]) -> u32 {
    xxh3_64(bytes) as u32
}

/// Hashes `bytes` to 128 bits, for identifiers that must not collide.
pub fn hash128(bytes: &[u8]) -> u128 {
    xxh3_128(bytes)
}

/// Scores `node` for `key` in weighted rendezvous hashing; the highest wins.
///
/// A node of weight `w` wins a share of keys proportional to `w`, and a node
/// that leaves moves only the keys it had won.
pub fn rendezvous_score(key: u64, node: u64, weight: f64) -> f64 {
    let mixed = xxh3_64_with_seed(&node.to_le_bytes(), key);
    // 53 bits give a uniform value strictly inside (0, 1).
    let uniform = ((mixed >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    weight / -uniform.ln()
}
