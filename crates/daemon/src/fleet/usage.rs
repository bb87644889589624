//! Customer usage totals.

use mulberryyoke_decide::exchange::Cursor;
use mulberryyoke_model::{Incarnation, Millis, Report, Usage};

use super::Fleet;
use crate::clock;

impl Fleet {
    /// Adds a sidecar's report to the totals; returns the sequence number of the last report
    /// that the totals include.
    pub fn collect(&self, sidecar: Incarnation, report: &Report) -> u64 {
        let now = clock::now();
        self.ledger.lock().collect(sidecar, report, now)
    }

    /// Fleet totals that changed since the cursor, which is advanced. Totals never
    /// decrease within one instance of this router.
    pub fn totals(&self, changed_since: &mut Cursor) -> Vec<Usage> {
        self.ledger.lock().totals_since(changed_since)
    }

    /// Totals to send to a sidecar after its report was collected: those that the report
    /// raised, and of the others a bounded number that grew most since they were sent.
    /// Each connection has its own cursor.
    pub fn totals_for_sidecar(&self, sidecar: Incarnation, cursor: &mut Cursor) -> Vec<Usage> {
        self.ledger.lock().totals_for_sidecar(sidecar, cursor)
    }

    /// Approximate time up to which the totals include the usage of other reachable
    /// routers.
    #[must_use]
    pub fn totals_as_of(&self) -> Millis {
        self.ledger.lock().as_of(clock::now())
    }
}
