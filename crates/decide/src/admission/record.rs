//! The home record of the server's idempotency keys.

use mulberryyoke_model::{Incarnation, KeyId, Millis};

use super::Admission;
use crate::key::{PriorRecord, SavedState};

impl Admission {
    /// The record of the earlier life was read and taken over; it names the
    /// routers of that life on.
    pub fn restore_record(&mut self, past: &PriorRecord, routers: &[Incarnation], now: Millis) {
        self.keys.restore(past, now);
        for origin in routers {
            self.routers.register(*origin, now);
        }
    }

    /// The home record names routers now.
    pub fn register_routers(&mut self, routers: &[Incarnation], now: Millis) {
        for origin in routers {
            self.routers.register(*origin, now);
        }
    }

    /// Whether the home record names a router.
    #[must_use]
    pub fn is_registered(&self, origin: Incarnation) -> bool {
        self.routers.contains(origin)
    }

    /// Routers that the home record has to go on naming. Those without a link
    /// for the retention time are forgotten: keys that they sent are, too.
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

    /// Whether the home record can name another router.
    #[must_use]
    pub fn can_register_router(&self) -> bool {
        self.routers.has_room()
    }

    /// Another life has taken over the home record: no new key is run.
    pub fn abandon_record(&mut self) {
        self.routers.clear();
    }

    /// A router told the keys that it sent to earlier lives.
    pub fn add_sent_keys(
        &mut self,
        origin: Incarnation,
        complete: bool,
        keys: &[KeyId],
        now: Millis,
    ) {
        self.keys.add_sent_keys(origin, complete, keys, now);
    }

    /// Whether an earlier life may have run keys that this one has not seen.
    #[must_use]
    pub fn is_recovering(&self, now: Millis) -> bool {
        self.keys.is_recovering(now)
    }

    /// Routers that have not told yet which keys they sent to earlier lives.
    #[must_use]
    pub fn missing_reports(&self) -> usize {
        self.keys.missing_reports()
    }

    /// What a record at a planned stop tells the next life; `None` while not all
    /// is known here. No key is run or barred from now on.
    pub fn close_record(&mut self, now: Millis) -> Option<Vec<(KeyId, SavedState)>> {
        self.routers.clear();
        self.keys.saved_states(now)
    }
}
