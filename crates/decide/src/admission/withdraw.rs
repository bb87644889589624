//! Withdrawals.

use mulberryyoke_model::{Attempt, KeyId, Millis, Outcome};

use super::Admission;
use crate::key::Seen;

impl Admission {
    /// Makes sure that an attempt, and with `key` any request with that key,
    /// never starts here unless it already has. Returns what had become of it,
    /// and whether an earlier life may have started it.
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
            Seen::Unknown if self.keys.room_at(now).is_some() => (Outcome::Unknown, false),
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
}
