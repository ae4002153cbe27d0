use std::collections::{BTreeMap, HashMap};

use mimosaledge_core::hash::hash64;

#[derive(Debug, Clone, Copy)]
struct Block {
    tokens: u32,
    used: u64,
}

/// A cache of prompt prefixes that evicts the least recently used block.
///
/// A block is identified by the whole chain of segments that leads to it.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity: u64,
    held: u64,
    clock: u64,
    blocks: HashMap<u64, Block>,
    order: BTreeMap<u64, u64>,
}

impl PrefixCache {
    pub(super) fn new(capacity: u64) -> PrefixCache {
        PrefixCache { capacity, held: 0, clock: 0, blocks: HashMap::new(), order: BTreeMap::new() }
    }

    /// Returns the tokens of the longest cached prefix of `segments`.
    pub(super) fn lookup(&mut self, segments: &[(u64, u32)]) -> u32 {
        let mut cached = 0;
        for (block, tokens) in chain(segments) {
            if !self.touch(block) {
                break;
            }
            cached += tokens;
        }
        cached
    }

    /// Stores every prefix of `segments`; returns the blocks evicted for it.
    pub(super) fn store(&mut self, segments: &[(u64, u32)]) -> Vec<u64> {
        // Later blocks are touched first, so that a prefix outlives what builds on it.
        let blocks: Vec<(u64, u32)> = chain(segments).collect();
        for &(block, tokens) in blocks.iter().rev() {
            if !self.touch(block) {
                self.insert(block, tokens);
            }
        }
        self.evict()
    }

    fn insert(&mut self, block: u64, tokens: u32) {
        self.clock += 1;
        self.blocks.insert(block, Block { tokens, used: self.clock });
        self.order.insert(self.clock, block);
        self.held += u64::from(tokens);
    }

    fn touch(&mut self, block: u64) -> bool {
        let Some(known) = self.blocks.get_mut(&block) else { return false };
        self.order.remove(&known.used);
        self.clock += 1;
        known.used = self.clock;
        self.order.insert(self.clock, block);
        true
    }

    fn evict(&mut self) -> Vec<u64> {
        let mut evicted = Vec::new();
        while self.held > self.capacity {
            let Some((_, block)) = self.order.pop_first() else { break };
            if let Some(gone) = self.blocks.remove(&block) {
                self.held -= u64::from(gone.tokens);
            }
            evicted.push(block);
        }
        evicted
    }
}

/// Identifies each prefix of `segments` with the length of its last segment.
pub fn chain(segments: &[(u64, u32)]) -> impl Iterator<Item = (u64, u32)> {
    segments.iter().scan(0u64, |state, &(id, tokens)| {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&state.to_le_bytes());
        bytes[8..].copy_from_slice(&id.to_le_bytes());
        *state = hash64(&bytes);
        Some((*state, tokens))
    })
}
