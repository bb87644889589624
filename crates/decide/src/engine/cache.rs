//! Estimated contents of a model server's prefix cache.

use std::collections::{BTreeMap, HashMap, HashSet};

use super::{Part, PartId, Prompt};

#[derive(Clone, Copy, Debug)]
struct Entry {
    tokens: u32,
    last_use: u64,
}

/// LRU cache of prompt parts, bounded by their total number of tokens.
#[derive(Clone, Debug)]
pub struct Cache {
    capacity: u32,
    tokens: u32,
    use_count: u64,
    entries: HashMap<u64, Entry>,
    by_last_use: BTreeMap<u64, u64>,
    /// Parts that the server reported as cached.
    reported: HashSet<PartId>,
    /// Prefill tokens left until the reported parts are assumed to be evicted.
    reported_tokens_left: u32,
}

impl Cache {
    /// An empty cache of `capacity` tokens.
    #[must_use]
    pub fn new(capacity: u32) -> Self {
        Self {
            capacity,
            tokens: 0,
            use_count: 0,
            entries: HashMap::new(),
            by_last_use: BTreeMap::new(),
            reported: HashSet::new(),
            reported_tokens_left: 0,
        }
    }

    /// Stores the parts that the server reported as cached. The report expires once the server
    /// has prefilled a full cache of tokens, by which time unused parts are evicted.
    pub fn set_reported(&mut self, parts: impl IntoIterator<Item = PartId>) {
        self.reported = parts.into_iter().collect();
        self.reported_tokens_left = self.capacity;
    }

    /// Ages the server's report by a number of prefilled tokens.
    pub fn record_prefill(&mut self, tokens: u32) {
        self.reported_tokens_left = self.reported_tokens_left.saturating_sub(tokens);
        if self.reported_tokens_left == 0 && !self.reported.is_empty() {
            self.reported = HashSet::new();
        }
    }

    /// Whether a part is in the LRU cache; reported parts are not considered.
    #[must_use]
    pub fn contains(&self, part: &Part) -> bool {
        self.entries.contains_key(&part.key)
    }

    /// Number of leading prompt tokens that are cached.
    #[must_use]
    pub fn cached_tokens(&self, prompt: &Prompt) -> u32 {
        let parts = prompt.shared.iter().zip(&prompt.part_ids);
        let cached =
            parts.take_while(|(part, id)| self.contains(part) || self.reported.contains(id));
        cached.map(|(part, _)| part.tokens).sum()
    }

    /// Inserts the shared parts of a prompt, given in order, as most recently used.
    pub fn insert(&mut self, shared: &[Part]) {
        // Touches the first part last: later parts are usable only with all parts before them.
        for part in shared.iter().rev() {
            self.touch(part.key, part.tokens);
        }
        while self.tokens > self.capacity {
            let Some((_, key)) = self.by_last_use.pop_first() else {
                break;
            };
            let entry = self.entries.remove(&key);
            self.tokens -= entry.map_or(0, |entry| entry.tokens);
        }
    }

    /// Removes a part that the server no longer caches.
    pub fn remove(&mut self, key: u64) {
        if let Some(entry) = self.entries.remove(&key) {
            self.by_last_use.remove(&entry.last_use);
            self.tokens -= entry.tokens;
        }
    }

    fn touch(&mut self, key: u64, tokens: u32) {
        self.remove(key);
        self.use_count += 1;
        let last_use = self.use_count;
        self.entries.insert(key, Entry { tokens, last_use });
        self.by_last_use.insert(last_use, key);
        self.tokens += tokens;
    }
}
