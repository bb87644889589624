//! Invariants, asserted in release builds too.

use super::Admission;

impl Admission {
    /// Asserts what must hold after every event: no free slot beside a runnable
    /// request, no more slots used than there are, every running request known
    /// as such, and the customer served next behind no other by more than the
    /// lead of urgent work.
    ///
    /// # Panics
    ///
    /// When an invariant is broken.
    pub(crate) fn check(&self) {
        if !self.is_fair() {
            return;
        }
        let may_grant = !self.is_draining() && self.free_slots() > 0;
        assert!(
            !(may_grant && self.ledger.is_backlogged()),
            "a slot is free beside a runnable request"
        );
        let used = self.running.len() + self.reservations.len();
        assert!(
            used <= self.setup.slots as usize,
            "more slots are used than there are"
        );
        assert_eq!(
            self.running.len(),
            self.attempts.running(),
            "a running request is not remembered as such"
        );
        self.ledger.check_invariants();
    }
}
