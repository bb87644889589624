//! Routers that may send keys, as listed in the record in the key-value service.

use std::collections::BTreeMap;

use mulberryyoke_model::{Incarnation, Millis};

/// Maximum number of routers in a record.
const MAX_ROUTERS: usize = 8_192;

/// Routers listed in the record. Only their keys may start here, so that the
/// next incarnation can ask every router that may have sent one.
#[derive(Clone, Debug, Default)]
pub struct Routers {
    /// Time of the last activity by router.
    last_active: BTreeMap<Incarnation, Millis>,
}

impl Routers {
    /// Whether a router is listed in the record.
    #[must_use]
    pub fn contains(&self, origin: Incarnation) -> bool {
        self.last_active.contains_key(&origin)
    }

    /// Adds a router that the record now lists.
    pub fn register(&mut self, origin: Incarnation, now: Millis) {
        self.last_active.insert(origin, now);
    }

    /// Updates the time of last activity of a registered router.
    pub fn touch(&mut self, origin: Incarnation, now: Millis) {
        if let Some(last_active) = self.last_active.get_mut(&origin) {
            *last_active = now;
        }
    }

    /// Removes routers without activity since the given time; they have to register
    /// again.
    pub fn expire(&mut self, since: Millis) {
        self.last_active
            .retain(|_, last_active| *last_active >= since);
    }

    /// Removes all routers.
    pub fn clear(&mut self) {
        self.last_active.clear();
    }

    /// Whether another router can be registered.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.last_active.len() < MAX_ROUTERS
    }

    /// Registered routers.
    pub fn iter(&self) -> impl Iterator<Item = Incarnation> {
        self.last_active.keys().copied()
    }
}
