//! Withdrawals.

use mulberryyoke_model::{Attempt, Incarnation, KeyId, Millis, Outcome};

use super::Admission;
use crate::key::Seen;

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
            return (outcome, self.keys.is_doubtful(now));
        };
        match self.keys.seen(key, now) {
            Seen::Unknown if !self.can_bar(attempt.origin, now) => (Outcome::Unknown, true),
            Seen::Unknown => {
                self.keys.note(key, Seen::Barred, now);
                (Outcome::NotRun, false)
            }
            Seen::Doubtful => (Outcome::Unknown, true),
            Seen::Barred => (Outcome::NotRun, false),
            Seen::Running => (Outcome::Running, false),
            Seen::Ran(_) => (Outcome::Ran, false),
            Seen::Cut => (Outcome::Cut, false),
        }
    }

    fn can_bar(&mut self, origin: Incarnation, now: Millis) -> bool {
        self.routers.see(origin, now);
        self.routers.contains(origin) && self.keys.room_at(now).is_none()
    }
}
