//! The operator: what it has written, and when the store acknowledged it.

use std::time::{Duration, Instant};

use parking_lot::Mutex;

use crate::forms::{CONFIG_KEY, configuration};
use crate::store::Store;

/// Keys that are valid at a time.
const KEYS: usize = 3;

/// Time in which a configuration is in force at gateways in touch.
pub(crate) const APPLY: Duration = Duration::from_millis(2_500);

#[derive(Debug, Default)]
struct Held {
    version: u64,
    keys: Vec<String>,
    /// When each key became valid, and when it was taken away.
    lives: Vec<(String, Instant, Option<Instant>)>,
    /// When the extra route came and went, by turns; it is not there at first.
    extra: Vec<Instant>,
}

/// The operator of a run.
pub(crate) struct Operator {
    store: Store,
    held: Mutex<Held>,
}

impl Operator {
    /// Writes the first configuration.
    pub(crate) fn new(store: Store) -> Self {
        let operator = Self {
            store,
            held: Mutex::default(),
        };
        operator.rotate_keys();
        operator
    }

    /// Takes the oldest key away and adds a new one.
    pub(crate) fn rotate_keys(&self) {
        let mut held = self.held.lock();
        while held.keys.len() < KEYS {
            add_key(&mut held);
        }
        let oldest = held.keys.remove(0);
        add_key(&mut held);
        self.write(&mut held);
        let now = Instant::now();
        let mut lives = held.lives.iter_mut();
        if let Some(life) = lives.find(|life| life.0 == oldest) {
            life.2 = Some(now);
        }
    }

    /// Adds the extra route, or removes it.
    pub(crate) fn toggle_route(&self) {
        let mut held = self.held.lock();
        let before = Instant::now();
        held.extra.push(before);
        self.write(&mut held);
        let last = held.extra.len() - 1;
        held.extra[last] = Instant::now();
    }

    fn write(&self, held: &mut Held) {
        held.version += 3;
        let has_extra = held.extra.len() % 2 == 1;
        let value = configuration(held.version, has_extra, &held.keys);
        self.store.put(CONFIG_KEY, &value);
    }

    /// A key that was valid at some time, the newest ones most often.
    pub(crate) fn key(&self, draw: usize) -> String {
        let held = self.held.lock();
        let newest = held.lives.len() - 1;
        held.lives[newest - draw % (2 * KEYS).min(newest + 1)]
            .0
            .clone()
    }

    /// When a key became valid, and when it was taken away.
    pub(crate) fn life(&self, key: &str) -> Option<(Instant, Option<Instant>)> {
        let held = self.held.lock();
        let life = held.lives.iter().find(|life| life.0 == key)?;
        Some((life.1, life.2))
    }

    /// Whether the extra route is there from one time to another; `None` if that changed.
    pub(crate) fn has_extra(&self, from: Instant, to: Instant) -> Option<bool> {
        let held = self.held.lock();
        let turns = |until: Instant| held.extra.iter().filter(|turn| **turn <= until).count();
        (turns(from) == turns(to)).then(|| turns(to) % 2 == 1)
    }
}

fn add_key(held: &mut Held) {
    let key = format!("key-{}", held.lives.len());
    held.lives.push((key.clone(), Instant::now(), None));
    held.keys.push(key);
}
