//! The shared prompt parts that a server is believed to keep.

use std::collections::{BTreeMap, HashMap, HashSet};

use super::{Part, PartId, Prompt};

#[derive(Clone, Copy, Debug)]
struct Kept {
    tokens: u32,
    used: u64,
}

/// Prompt parts in the order of their last use; the least recently used yield
/// once they exceed a number of tokens.
#[derive(Clone, Debug)]
pub struct Cache {
    capacity: u32,
    tokens: u32,
    uses: u64,
    kept: HashMap<u64, Kept>,
    by_use: BTreeMap<u64, u64>,
    /// Parts that the server itself listed.
    listed: HashSet<PartId>,
    /// Tokens that it may still read before they are taken to have yielded.
    listed_left: u32,
}

impl Cache {
    /// An empty cache of `capacity` tokens.
    #[must_use]
    pub fn new(capacity: u32) -> Self {
        Self {
            capacity,
            tokens: 0,
            uses: 0,
            kept: HashMap::new(),
            by_use: BTreeMap::new(),
            listed: HashSet::new(),
            listed_left: 0,
        }
    }

    /// Takes in what the server says it keeps. It counts until as many tokens were read
    /// as the cache holds: by then parts that were not used since have yielded.
    pub fn set_reported(&mut self, names: impl IntoIterator<Item = PartId>) {
        self.listed = names.into_iter().collect();
        self.listed_left = self.capacity;
    }

    /// Notes that the server is given prompt tokens to read.
    pub fn record_prefill(&mut self, tokens: u32) {
        self.listed_left = self.listed_left.saturating_sub(tokens);
        if self.listed_left == 0 && !self.listed.is_empty() {
            self.listed = HashSet::new();
        }
    }

    /// Whether a part is kept.
    #[must_use]
    pub fn contains(&self, part: &Part) -> bool {
        self.kept.contains_key(&part.key)
    }

    /// Tokens of a prompt's beginning that need not be read again.
    #[must_use]
    pub fn cached_tokens(&self, prompt: &Prompt) -> u32 {
        let parts = prompt.shared.iter().zip(&prompt.part_ids);
        let held =
            parts.take_while(|(part, name)| self.contains(part) || self.listed.contains(name));
        held.map(|(part, _)| part.tokens).sum()
    }

    /// Notes that a prompt is read: its shared parts, given in order, are the
    /// most recently used.
    pub fn insert(&mut self, shared: &[Part]) {
        // The first part is touched last: without it those after it are of no use.
        for part in shared.iter().rev() {
            self.touch(part.key, part.tokens);
        }
        while self.tokens > self.capacity {
            let Some((_, key)) = self.by_use.pop_first() else {
                break;
            };
            let kept = self.kept.remove(&key);
            self.tokens -= kept.map_or(0, |kept| kept.tokens);
        }
    }

    /// Forgets a part that the server no longer keeps.
    pub fn remove(&mut self, key: u64) {
        if let Some(kept) = self.kept.remove(&key) {
            self.by_use.remove(&kept.used);
            self.tokens -= kept.tokens;
        }
    }

    fn touch(&mut self, key: u64, tokens: u32) {
        self.remove(key);
        self.uses += 1;
        let used = self.uses;
        self.kept.insert(key, Kept { tokens, used });
        self.by_use.insert(used, key);
        self.tokens += tokens;
    }
}
