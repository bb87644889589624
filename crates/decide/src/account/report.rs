//! Reports of service to the collector.

use mulberryyoke_model::{Millis, PoolId, Report, Usage};

use super::{AccountKey, Ledger};

/// Least time between two reports, in milliseconds.
pub const REPORT_INTERVAL: Millis = 1_000;

/// Sends what was charged, one report at a time, until it is counted.
#[derive(Clone, Debug)]
pub struct Reporter {
    pool: PoolId,
    sequence: u64,
    /// Accounts in the report on its way.
    sent: Vec<AccountKey>,
    /// When the next report is due.
    next_at: Millis,
    /// Whether the collector knows nothing of this life yet.
    fresh: bool,
}

impl Reporter {
    /// A reporter of service in a pool.
    #[must_use]
    pub fn open(pool: PoolId) -> Self {
        Self {
            pool,
            sequence: 0,
            sent: Vec::new(),
            next_at: 0,
            fresh: true,
        }
    }

    /// A new collector starts from the beginning.
    pub(crate) fn restart(&mut self) {
        self.sent.clear();
        self.fresh = true;
        self.next_at = 0;
    }

    /// When the next report is due.
    #[must_use]
    pub fn next_at(&self) -> Millis {
        self.next_at
    }

    /// The collector has counted a report.
    pub(crate) fn count(&mut self, ledger: &mut Ledger, counted: u64) {
        if counted != self.sequence {
            return;
        }
        for key in std::mem::take(&mut self.sent) {
            ledger.count_reported(key);
        }
    }

    /// The report that is due, if any. While requests wait there is one even with
    /// nothing to tell, since its answer brings the fleet-wide counts.
    pub(crate) fn report(&mut self, ledger: &mut Ledger, now: Millis) -> Option<Report> {
        if now < self.next_at {
            return None;
        }
        self.next_at = now + REPORT_INTERVAL;
        let fresh = std::mem::take(&mut self.fresh);
        let due = ledger
            .accounts()
            .filter(|(_, account)| account.uncounted() > 0 || fresh && account.charged > 0);
        self.sent = due.map(|(key, _)| key).collect();
        if self.sent.is_empty() && !ledger.is_backlogged() {
            return None;
        }
        self.sequence += 1;
        let usage = self.sent.iter().map(|key| {
            let charged = ledger.mark_reported(*key);
            Usage {
                pool: self.pool,
                customer: ledger.account(*key).customer,
                tokens: charged,
            }
        });
        Some(Report {
            sequence: self.sequence,
            usage: usage.collect(),
        })
    }
}
