//! Routers that may send keys, as the home record names them.

use std::collections::BTreeMap;

use mulberryyoke_model::{Incarnation, Millis};

/// Most routers that a record names.
const MAX_ROUTERS: usize = 8_192;

/// Routers that the home record names. Only they may have keys started here, so
/// that the next life knows whom to ask.
#[derive(Clone, Debug, Default)]
pub struct Routers {
    /// By when they were seen last.
    named: BTreeMap<Incarnation, Millis>,
}

impl Routers {
    /// Whether the record names a router.
    #[must_use]
    pub fn contains(&self, origin: Incarnation) -> bool {
        self.named.contains_key(&origin)
    }

    /// The record names a router now.
    pub fn register(&mut self, origin: Incarnation, now: Millis) {
        self.named.insert(origin, now);
    }

    /// A named router was seen.
    pub fn touch(&mut self, origin: Incarnation, now: Millis) {
        if let Some(seen) = self.named.get_mut(&origin) {
            *seen = now;
        }
    }

    /// Forgets routers not seen since an instant; they have to be named again.
    pub fn expire(&mut self, since: Millis) {
        self.named.retain(|_, seen| *seen >= since);
    }

    /// Forgets all: another life has taken over the record.
    pub fn clear(&mut self) {
        self.named.clear();
    }

    /// Whether another router can be named.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.named.len() < MAX_ROUTERS
    }

    /// The routers named.
    pub fn iter(&self) -> impl Iterator<Item = Incarnation> {
        self.named.keys().copied()
    }
}
