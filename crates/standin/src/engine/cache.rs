//! Prompt prefix cache with least-recently-used eviction.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hasher};

/// Size of a prompt block, in bytes.
const BLOCK_BYTES: usize = 64;

/// Cached prompt blocks.
#[derive(Debug)]
pub(crate) struct Cache {
    capacity: usize,
    /// Number of block accesses.
    clock: u64,
    /// Time of the last access by hash of the prefix that ends with the block.
    last_access: HashMap<u64, u64>,
}

impl Cache {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            clock: 0,
            last_access: HashMap::new(),
        }
    }

    /// Adds a prompt to the cache and returns the number of blocks that were missing.
    pub(crate) fn insert(&mut self, prompt: &str) -> u32 {
        let mut prefix = DefaultHasher::new();
        let mut misses = 0;
        for block in prompt.as_bytes().chunks(BLOCK_BYTES) {
            prefix.write(block);
            misses += u32::from(self.insert_block(prefix.finish()));
        }
        misses
    }

    /// Adds a block or updates its access time. Returns whether it was missing.
    fn insert_block(&mut self, block: u64) -> bool {
        self.clock += 1;
        let is_missing = self.last_access.insert(block, self.clock).is_none();
        if self.last_access.len() > self.capacity {
            let oldest = self.last_access.iter().min_by_key(|(_, time)| **time);
            let oldest = oldest.map(|(block, _)| *block);
            oldest.and_then(|block| self.last_access.remove(&block));
        }
        is_missing
    }
}
