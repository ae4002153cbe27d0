//! The prefix cache of an engine.

use std::collections::{BTreeMap, HashMap};

use mimosaledge_core::hash::hash64;

#[derive(Debug, Clone, Copy)]
struct Block {
    tokens: u32,
    last_used: u64,
}

/// A cache of prompt prefixes that evicts the least recently used block.
///
/// A block holds one segment; its ID is a hash of that segment and all before it.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity: u64,
    cached_tokens: u64,
    /// Logical time, incremented on each use of a block.
    clock: u64,
    blocks: HashMap<u64, Block>,
    /// Block IDs by the logical time of their last use.
    lru_order: BTreeMap<u64, u64>,
}

impl PrefixCache {
    pub(super) fn new(capacity: u64) -> PrefixCache {
        PrefixCache {
            capacity,
            cached_tokens: 0,
            clock: 0,
            blocks: HashMap::new(),
            lru_order: BTreeMap::new(),
        }
    }

    /// Returns the length of the longest cached prefix of `segments`, in tokens.
    pub(super) fn lookup(&mut self, segments: &[(u64, u32)]) -> u32 {
        let mut cached = 0;
        for (block, tokens) in prefix_blocks(segments) {
            if !self.touch(block) {
                break;
            }
            cached += tokens;
        }
        cached
    }

    /// Stores every prefix of `segments` and returns the blocks evicted.
    pub(super) fn store(&mut self, segments: &[(u64, u32)]) -> Vec<u64> {
        // Blocks are touched from last to first, so that a prefix is evicted after
        // the blocks that extend it.
        let blocks: Vec<(u64, u32)> = prefix_blocks(segments).collect();
        for &(block, tokens) in blocks.iter().rev() {
            if !self.touch(block) {
                self.insert(block, tokens);
            }
        }
        self.evict()
    }

    fn insert(&mut self, block: u64, tokens: u32) {
        self.clock += 1;
        self.blocks.insert(block, Block { tokens, last_used: self.clock });
        self.lru_order.insert(self.clock, block);
        self.cached_tokens += u64::from(tokens);
    }

    /// Marks a block as most recently used; returns whether it is cached.
    fn touch(&mut self, block: u64) -> bool {
        let Some(entry) = self.blocks.get_mut(&block) else { return false };
        self.lru_order.remove(&entry.last_used);
        self.clock += 1;
        entry.last_used = self.clock;
        self.lru_order.insert(self.clock, block);
        true
    }

    fn evict(&mut self) -> Vec<u64> {
        let mut evicted = Vec::new();
        while self.cached_tokens > self.capacity {
            let Some((_, block)) = self.lru_order.pop_first() else { break };
            if let Some(removed) = self.blocks.remove(&block) {
                self.cached_tokens -= u64::from(removed.tokens);
            }
            evicted.push(block);
        }
        evicted
    }
}

/// Returns the block ID of each prefix of `segments`, with the token count of its
/// last segment.
pub fn prefix_blocks(segments: &[(u64, u32)]) -> impl Iterator<Item = (u64, u32)> {
    segments.iter().scan(0u64, |prefix_hash, &(id, tokens)| {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&prefix_hash.to_le_bytes());
        bytes[8..].copy_from_slice(&id.to_le_bytes());
        *prefix_hash = hash64(&bytes);
        Some((*prefix_hash, tokens))
    })
}
