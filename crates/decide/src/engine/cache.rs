//! Estimated contents of a model server's prefix cache.

use std::collections::{BTreeMap, HashMap, HashSet};

use mulberryyoke_model::Millis;

use super::{Part, PartId, Prompt};

#[derive(Clone, Copy, Debug)]
struct Entry {
    tokens: u32,
    last_use: u64,
    /// Total of unshared tokens at the last use.
    unshared_at_use: f64,
    /// When the server surely has prefilled the part; `None` while that is unknown.
    settled_at: Option<Millis>,
}

/// LRU cache of prompt parts in the memory that running requests leave. A part is evicted once the
/// parts used since its last use, and the unshared tokens processed since then, fill the capacity.
#[derive(Clone, Debug)]
pub struct Cache {
    /// Memory of the server, in tokens.
    memory: u32,
    /// Tokens of memory that running requests take.
    taken: u32,
    tokens: u32,
    /// Total of tokens processed outside of shared parts, prefilled or generated. They occupy the
    /// cache like shared parts, but are not used again.
    unshared: f64,
    /// Total of tokens added to the cache.
    volume: f64,
    use_count: u64,
    entries: HashMap<u64, Entry>,
    by_last_use: BTreeMap<u64, u64>,
    /// Parts that the server reported as cached.
    reported: HashSet<PartId>,
    /// `volume` at the time of the report.
    reported_volume: f64,
}

impl Cache {
    /// An empty cache of an idle server with `memory` tokens.
    #[must_use]
    pub fn new(memory: u32) -> Self {
        Self {
            memory,
            taken: 0,
            tokens: 0,
            unshared: 0.0,
            volume: 0.0,
            use_count: 0,
            entries: HashMap::new(),
            by_last_use: BTreeMap::new(),
            reported: HashSet::new(),
            reported_volume: 0.0,
        }
    }

    /// Stores the parts that the server reported as cached. The report expires once the server
    /// has processed a full cache of tokens, by which time unused parts are evicted.
    pub fn set_reported(&mut self, parts: impl IntoIterator<Item = PartId>) {
        self.reported = parts.into_iter().collect();
        self.reported_volume = self.volume;
    }

    /// Sets the tokens of memory that running requests take.
    pub fn set_taken(&mut self, tokens: u32) {
        self.taken = tokens;
        self.evict();
    }

    /// Records tokens that the server processed outside of shared parts.
    pub fn record_unshared(&mut self, tokens: f64) {
        self.unshared += tokens;
        self.volume += tokens;
        self.evict();
    }

    /// Whether a part is in the LRU cache; reported parts are not considered.
    #[must_use]
    pub fn contains(&self, part: &Part) -> bool {
        self.entries.contains_key(&part.key)
    }

    /// Number of leading prompt tokens that are cached.
    #[must_use]
    pub fn cached_tokens(&self, prompt: &Prompt) -> u32 {
        self.leading_tokens(prompt, |part| self.contains(part))
    }

    /// Number of leading prompt tokens that the server surely has cached, and not only begun to
    /// prefill.
    #[must_use]
    pub fn settled_tokens(&self, prompt: &Prompt, now: Millis) -> u32 {
        self.leading_tokens(prompt, |part| {
            let entry = self.entries.get(&part.key);
            let settled_at = entry.and_then(|entry| entry.settled_at);
            settled_at.is_some_and(|at| at <= now)
        })
    }

    fn leading_tokens(&self, prompt: &Prompt, is_cached: impl Fn(&Part) -> bool) -> u32 {
        let parts = prompt.shared.iter().zip(&prompt.part_ids);
        let cached = parts.take_while(|(part, id)| is_cached(part) || self.reported.contains(id));
        cached.map(|(part, _)| part.tokens).sum()
    }

    /// Inserts the shared parts of a prompt, given in order, as most recently used.
    pub fn insert(&mut self, shared: &[Part]) {
        // Touches the first part last: later parts are usable only with all parts before them.
        for part in shared.iter().rev() {
            self.touch(part.key, part.tokens);
        }
        self.evict();
    }

    /// Records that the server will surely have prefilled these parts at `at`.
    pub fn settle(&mut self, shared: &[Part], at: Millis) {
        for part in shared {
            if let Some(entry) = self.entries.get_mut(&part.key) {
                entry.settled_at = Some(entry.settled_at.map_or(at, |earlier| earlier.min(at)));
            }
        }
    }

    fn touch(&mut self, key: u64, tokens: u32) {
        let settled_at = self.remove(key).map_or_else(
            || {
                self.volume += f64::from(tokens);
                None
            },
            |entry| entry.settled_at,
        );
        self.use_count += 1;
        let last_use = self.use_count;
        let entry = Entry {
            tokens,
            last_use,
            unshared_at_use: self.unshared,
            settled_at,
        };
        self.entries.insert(key, entry);
        self.by_last_use.insert(last_use, key);
        self.tokens += tokens;
    }

    fn remove(&mut self, key: u64) -> Option<Entry> {
        let entry = self.entries.remove(&key)?;
        self.by_last_use.remove(&entry.last_use);
        self.tokens -= entry.tokens;
        Some(entry)
    }

    /// Evicts the parts that no longer fit.
    fn evict(&mut self) {
        let capacity = f64::from(self.memory.saturating_sub(self.taken));
        while let Some((_, &key)) = self.by_last_use.first_key_value() {
            let since_use = self.unshared - self.entries[&key].unshared_at_use;
            if f64::from(self.tokens) + since_use <= capacity {
                break;
            }
            self.remove(key);
        }
        if self.volume - self.reported_volume >= capacity {
            self.reported = HashSet::new();
        }
    }
}
