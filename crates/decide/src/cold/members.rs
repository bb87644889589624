//! Gateways among which the rate limit of a cold server is split.

use std::collections::HashMap;

use mulberryyoke_model::Millis;

use crate::aggregate::name_hash;

/// Time for which a gateway still counts after its registration ended, in milliseconds; three
/// times the registration lease. During an outage of the key-value service all registrations
/// lapse, and each gateway would otherwise believe itself the only one.
const LEAVE_GRACE_MS: u64 = 30_000;

/// Time after startup during which a gateway sends nothing to cold servers, in milliseconds.
/// When all gateways start together, the first ones see only a few others registered.
const STARTUP_GRACE_MS: u64 = 3_000;

/// The other gateways that are registered or recently were.
#[derive(Clone, Debug, Default)]
pub struct Members {
    /// Rank by name, and the expiry of those no longer registered.
    names: HashMap<String, (u64, Option<Millis>)>,
    /// When the registrations were first read.
    started_at: Option<Millis>,
    changes: u64,
}

impl Members {
    /// Records that the registrations were read. The first call starts the grace period.
    pub fn start(&mut self, now: Millis) {
        self.started_at.get_or_insert(now);
    }

    /// Adds a registered gateway.
    pub fn join(&mut self, name: &str) {
        let joined = (name_hash(name), None);
        let before = self.names.insert(name.to_owned(), joined);
        self.changes += u64::from(before.is_none());
    }

    /// Marks a gateway as no longer registered.
    pub fn leave(&mut self, name: &str, now: Millis) {
        if let Some((_, expires_at)) = self.names.get_mut(name) {
            expires_at.get_or_insert(now + LEAVE_GRACE_MS);
        }
    }

    /// Starts a new view because the rate limits may have changed.
    pub const fn invalidate(&mut self) {
        self.changes += 1;
    }

    /// Removes gateways whose grace period has passed.
    pub fn expire(&mut self, now: Millis) {
        let before = self.names.len();
        self.names
            .retain(|_, (_, expires_at)| expires_at.is_none_or(|at| at > now));
        self.changes += u64::from(self.names.len() != before);
    }

    /// Returns the view number, never 0. Quotas computed in another view are outdated.
    #[must_use]
    pub fn view(&self, now: Millis) -> u64 {
        2 * (self.changes + 1) + u64::from(self.is_started(now))
    }

    /// Returns the ranks of the other gateways, or `None` during the startup grace period.
    #[must_use]
    pub fn ranks(&self, now: Millis) -> Option<Vec<u64>> {
        self.is_started(now)
            .then(|| self.names.values().map(|(rank, _)| *rank).collect())
    }

    fn is_started(&self, now: Millis) -> bool {
        self.started_at
            .is_some_and(|at| now.saturating_sub(at) >= STARTUP_GRACE_MS)
    }
}
