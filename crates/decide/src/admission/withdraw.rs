//! Withdrawals.

use mulberryyoke_model::{Attempt, Incarnation, KeyId, Millis, Outcome};

use super::Admission;
use crate::key::KeyState;

impl Admission {
    /// Makes sure that an attempt, and with `key` any request with that key,
    /// never starts here unless it already has. Returns what had become of it,
    /// and whether an earlier life may have started it. The bar on a key has to
    /// outlast this life, so only a router that the home record names can set it.
    pub fn withdraw(
        &mut self,
        attempt: Attempt,
        key: Option<KeyId>,
        now: Millis,
    ) -> (Outcome, bool) {
        let outcome = self.attempts.withdraw(attempt, now);
        let Some(key) = key else {
            return (outcome, self.keys.is_recovering(now));
        };
        match self.keys.state(key, now) {
            KeyState::Unknown if !self.can_bar(attempt.origin, now) => (Outcome::Unknown, true),
            KeyState::Unknown => {
                self.keys.record(key, KeyState::Withdrawn, now);
                (Outcome::NotRun, false)
            }
            KeyState::Indeterminate => (Outcome::Unknown, true),
            KeyState::Withdrawn => (Outcome::NotRun, false),
            KeyState::Running => (Outcome::Running, false),
            KeyState::Completed(_) => (Outcome::Ran, false),
            KeyState::Interrupted => (Outcome::Cut, false),
        }
    }

    fn can_bar(&mut self, origin: Incarnation, now: Millis) -> bool {
        self.routers.touch(origin, now);
        self.routers.contains(origin) && self.keys.full_until(now).is_none()
    }
}
