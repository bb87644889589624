//! Prompt-prefix cache of limited memory.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hasher};

/// Size of a prompt block, in bytes.
const BLOCK: usize = 64;

/// Cached prompt blocks, the least recently used dropped first.
#[derive(Debug)]
pub(crate) struct Cache {
    capacity: usize,
    clock: u64,
    used: HashMap<u64, u64>,
}

impl Cache {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            clock: 0,
            used: HashMap::new(),
        }
    }

    /// Reads a prompt into the cache; returns how many of its blocks were missing.
    pub(crate) fn read(&mut self, prompt: &str) -> u32 {
        let mut prefix = DefaultHasher::new();
        let mut missing = 0;
        for block in prompt.as_bytes().chunks(BLOCK) {
            prefix.write(block);
            missing += u32::from(self.touch(prefix.finish()));
        }
        missing
    }

    /// Marks a block as just used; returns whether it was missing.
    fn touch(&mut self, block: u64) -> bool {
        self.clock += 1;
        let missing = self.used.insert(block, self.clock).is_none();
        if self.used.len() > self.capacity {
            let oldest = self.used.iter().min_by_key(|(_, used)| **used);
            let oldest = oldest.map(|(block, _)| *block);
            oldest.and_then(|block| self.used.remove(&block));
        }
        missing
    }
}
