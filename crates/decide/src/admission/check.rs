//! Invariants, asserted in release builds too.

use super::Admission;

impl Admission {
    /// Asserts the invariants that hold after every event: no slot is free while a
    /// request is runnable, the slots in use and reserved do not exceed the limit,
    /// every running request has a running attempt, and the virtual service of the
    /// next customer exceeds no other by more than the lead of urgent requests.
    ///
    /// # Panics
    ///
    /// If an invariant is violated.
    pub(crate) fn check(&self) {
        if !self.is_fair() {
            return;
        }
        let may_grant = !self.is_draining() && self.free_slots() > 0;
        assert!(
            !(may_grant && self.ledger.is_backlogged()),
            "a slot is free while a request is runnable"
        );
        let used = self.running.len() + self.reservations.len();
        assert!(
            used <= self.setup.slots as usize,
            "slots in use and reserved exceed the limit"
        );
        assert_eq!(
            self.running.len(),
            self.attempts.running(),
            "running requests and running attempts differ"
        );
        self.ledger.check_invariants();
    }
}
