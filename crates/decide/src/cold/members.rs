//! The gateways among which the bound of a cold server is shared out.

use std::collections::HashMap;

use mulberryyoke_model::Millis;

use crate::aggregate::name_hash;

/// Time for which a gateway that is no longer registered still counts, in milliseconds: three
/// times that of a registration without renewal. While the key-value service is away
/// registrations lapse though the gateways live; each would else take itself for the only one.
const STAY_MS: u64 = 30_000;

/// Time after the first view of the fleet in which a gateway sends cold servers nothing, in
/// milliseconds: when all start at once the first to ask find few others registered.
const YOUNG_MS: u64 = 3_000;

/// The gateways that are registered, or were a while ago; the own one is not among them.
#[derive(Clone, Debug, Default)]
pub struct Members {
    /// Ranks by name, and until when those count that are no longer registered.
    names: HashMap<String, (u64, Option<Millis>)>,
    /// When the fleet was first seen.
    since: Option<Millis>,
    changes: u64,
}

impl Members {
    /// Notes that the fleet was seen.
    pub fn start(&mut self, now: Millis) {
        self.since.get_or_insert(now);
    }

    /// Notes that a gateway is registered.
    pub fn join(&mut self, name: &str) {
        let joined = (name_hash(name), None);
        let before = self.names.insert(name.to_owned(), joined);
        self.changes += u64::from(before.is_none());
    }

    /// Notes that a gateway is no longer registered.
    pub fn leave(&mut self, name: &str, now: Millis) {
        if let Some((_, until)) = self.names.get_mut(name) {
            until.get_or_insert(now + STAY_MS);
        }
    }

    /// Notes that what servers bear may have changed.
    pub const fn invalidate(&mut self) {
        self.changes += 1;
    }

    /// Forgets gateways that left long ago.
    pub fn expire(&mut self, now: Millis) {
        let before = self.names.len();
        self.names
            .retain(|_, (_, until)| until.is_none_or(|until| until > now));
        self.changes += u64::from(self.names.len() != before);
    }

    /// Number of the view of the fleet, which is never 0: shares found by another are out of
    /// date.
    #[must_use]
    pub fn view(&self, now: Millis) -> u64 {
        2 * (self.changes + 1) + u64::from(self.is_settled(now))
    }

    /// The ranks of the other gateways; `None` while too little of the fleet is known.
    #[must_use]
    pub fn ranks(&self, now: Millis) -> Option<Vec<u64>> {
        self.is_settled(now)
            .then(|| self.names.values().map(|(rank, _)| *rank).collect())
    }

    fn is_settled(&self, now: Millis) -> bool {
        self.since
            .is_some_and(|since| now.saturating_sub(since) >= YOUNG_MS)
    }
}
