//! State shared with the record of idempotency keys in the key-value service.

use mulberryyoke_model::{Incarnation, KeyId, Millis};

use super::Admission;
use crate::key::{PriorRecord, SavedState};

impl Admission {
    /// Restores key states from the prior record, and the routers that it lists.
    pub fn restore_record(&mut self, prior: &PriorRecord, routers: &[Incarnation], now: Millis) {
        self.keys.restore(prior, now);
        for origin in routers {
            self.routers.register(*origin, now);
        }
    }

    /// Registers routers that the record now lists.
    pub fn register_routers(&mut self, routers: &[Incarnation], now: Millis) {
        for origin in routers {
            self.routers.register(*origin, now);
        }
    }

    /// Whether the record lists a router.
    #[must_use]
    pub fn is_registered(&self, origin: Incarnation) -> bool {
        self.routers.contains(origin)
    }

    /// Routers that the record must continue to list. Removes those without a link or
    /// a running key for the retention time, after which their keys have expired.
    pub fn refresh_routers(&mut self, now: Millis) -> Vec<Incarnation> {
        let linked = self.links.values().filter_map(|link| link.origin);
        let keyed = self
            .running
            .iter()
            .filter(|(_, running)| running.key.is_some());
        let keyed = keyed.map(|(attempt, _)| attempt.origin);
        for origin in linked.chain(keyed) {
            self.routers.touch(origin, now);
        }
        let since = now.saturating_sub(self.setup.retention_ms);
        self.routers.expire(since);
        self.routers.iter().collect()
    }

    /// Whether the record has room for another router.
    #[must_use]
    pub fn can_register_router(&self) -> bool {
        self.routers.has_room()
    }

    /// Stops accepting new keys, since another incarnation owns the record.
    pub fn abandon_record(&mut self) {
        self.routers.clear();
    }

    /// Takes a router's report of the keys it sent to earlier incarnations.
    pub fn add_sent_keys(
        &mut self,
        origin: Incarnation,
        complete: bool,
        keys: &[KeyId],
        now: Millis,
    ) {
        self.keys.add_sent_keys(origin, complete, keys, now);
    }

    /// Whether an earlier incarnation may have run keys unknown to this one.
    #[must_use]
    pub fn is_recovering(&self, now: Millis) -> bool {
        self.keys.is_recovering(now)
    }

    /// Number of routers that have not reported yet which keys they sent to earlier
    /// incarnations.
    #[must_use]
    pub fn missing_reports(&self) -> usize {
        self.keys.missing_reports()
    }

    /// Stops accepting and withdrawing keys, for a planned stop. Returns the key
    /// states for the next incarnation; `None` while recovery is incomplete.
    pub fn close_record(&mut self, now: Millis) -> Option<Vec<(KeyId, SavedState)>> {
        self.routers.clear();
        self.keys.saved_states(now)
    }
}
