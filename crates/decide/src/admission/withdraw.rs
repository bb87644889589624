//! Withdrawal of attempts and keys.

use mulberryyoke_model::{Attempt, Incarnation, KeyId, Millis, Outcome};

use super::Admission;
use crate::key::KeyState;

impl Admission {
    /// Prevents an attempt, and any request with `key`, from starting here unless it
    /// already has. Returns its outcome, and whether an earlier incarnation may have
    /// started it. Since the withdrawal of a key has to survive a restart, only a
    /// router listed in the record can withdraw one.
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
            KeyState::Unknown if !self.can_withdraw_key(attempt.origin, now) => {
                (Outcome::Unknown, true)
            }
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

    fn can_withdraw_key(&mut self, origin: Incarnation, now: Millis) -> bool {
        self.routers.touch(origin, now);
        self.routers.contains(origin) && self.keys.full_until(now).is_none()
    }
}
