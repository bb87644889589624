//! The operator of a run, with the times at which its writes were acknowledged.

use std::time::{Duration, Instant};

use parking_lot::Mutex;

use crate::store::Store;
use crate::store_values::{CONFIG_KEY, configuration};

/// Number of valid keys.
const VALID_KEYS: usize = 3;

/// Time limit for a configuration to take effect at gateways connected to the store.
pub(crate) const PROPAGATION: Duration = Duration::from_millis(2_500);

/// Period in which a key is valid.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Validity {
    pub(crate) from: Instant,
    /// `None` while the key is valid.
    pub(crate) until: Option<Instant>,
}

#[derive(Debug, Default)]
struct State {
    version: u64,
    /// Valid keys, oldest first.
    keys: Vec<String>,
    /// All keys, in order of creation.
    history: Vec<(String, Validity)>,
    /// Times at which the extra route was added or removed, alternately; it is absent at first.
    route_changes: Vec<Instant>,
}

/// Length of the keys that make a configuration large.
const FILLER_BYTES: usize = 1_000;

/// The operator of a run.
pub(crate) struct Operator {
    store: Store,
    /// Keys that make the configuration large and that no caller has.
    fillers: Vec<String>,
    state: Mutex<State>,
}

impl Operator {
    /// Writes the initial configuration, with this size besides.
    pub(crate) fn new(store: Store, bytes: usize) -> Self {
        let filler = "f".repeat(FILLER_BYTES);
        let fillers = (0..bytes / FILLER_BYTES).map(|index| format!("{filler}{index}"));
        let operator = Self {
            store,
            fillers: fillers.collect(),
            state: Mutex::default(),
        };
        operator.rotate_keys();
        operator
    }

    /// Replaces the oldest key by a new one.
    pub(crate) fn rotate_keys(&self) {
        let mut state = self.state.lock();
        while state.keys.len() < VALID_KEYS {
            add_key(&mut state);
        }
        let oldest = state.keys.remove(0);
        add_key(&mut state);
        self.write(&mut state);
        let now = Instant::now();
        let mut history = state.history.iter_mut();
        if let Some((_, validity)) = history.find(|(key, _)| *key == oldest) {
            validity.until = Some(now);
        }
    }

    /// Adds or removes the extra route.
    pub(crate) fn toggle_route(&self) {
        let mut state = self.state.lock();
        let before = Instant::now();
        state.route_changes.push(before);
        self.write(&mut state);
        let last = state.route_changes.len() - 1;
        state.route_changes[last] = Instant::now();
    }

    /// Writes the configuration as it is, with a new version.
    pub(crate) fn rewrite(&self) {
        self.write(&mut self.state.lock());
    }

    fn write(&self, state: &mut State) {
        state.version += 3;
        let has_extra = state.route_changes.len() % 2 == 1;
        let keys = [state.keys.as_slice(), &self.fillers].concat();
        let value = configuration(state.version, has_extra, &keys);
        self.store.put(CONFIG_KEY, &value);
    }

    /// Selects one of the most recent keys, valid or revoked.
    pub(crate) fn pick_key(&self, draw: usize) -> String {
        let state = self.state.lock();
        let newest = state.history.len() - 1;
        state.history[newest - draw % (2 * VALID_KEYS).min(newest + 1)]
            .0
            .clone()
    }

    pub(crate) fn validity(&self, key: &str) -> Option<Validity> {
        let state = self.state.lock();
        let found = state.history.iter().find(|(other, _)| other == key)?;
        Some(found.1)
    }

    /// Whether the extra route exists during a period; `None` if it was added or removed in it.
    pub(crate) fn has_extra_route(&self, from: Instant, to: Instant) -> Option<bool> {
        let state = self.state.lock();
        let changes_until = |time: Instant| {
            let changes = state.route_changes.iter();
            changes.filter(|change| **change <= time).count()
        };
        (changes_until(from) == changes_until(to)).then(|| changes_until(to) % 2 == 1)
    }
}

fn add_key(state: &mut State) {
    let key = format!("key-{}", state.history.len());
    let validity = Validity {
        from: Instant::now(),
        until: None,
    };
    state.history.push((key.clone(), validity));
    state.keys.push(key);
}
