//! Reports of service to the collector.

use std::collections::HashMap;

use mulberryyoke_model::{CustomerId, Incarnation, Millis, PoolId, Report, Usage};

use super::{AccountKey, Ledger};

/// Least time between two reports, in milliseconds.
pub const REPORT_INTERVAL: Millis = 1_000;

/// How long the counts of a new collector only set where later ones count from,
/// in milliseconds: a router that has just started still learns the past.
pub const SETTLING: Millis = 3_000;

/// Collectors whose counts are remembered, in case they become it again.
const MAX_COLLECTORS: usize = 8;

/// What one collector has counted of this sidecar's service, in tokens.
#[derive(Clone, Debug)]
struct Counted {
    collector: Incarnation,
    tokens: HashMap<CustomerId, u64>,
}

/// Sends what was charged, one report at a time, until it is counted. A report
/// tells cumulative counts of what its collector alone has counted and is to
/// count, so that no service is counted by two of them.
#[derive(Clone, Debug)]
pub struct Reporter {
    pool: PoolId,
    sequence: u64,
    /// Accounts in the report on its way.
    sent: Vec<AccountKey>,
    /// When the next report is due.
    next_at: Millis,
    /// Until when the present collector settles.
    settled_at: Millis,
    /// The present collector last.
    collectors: Vec<Counted>,
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
            settled_at: 0,
            collectors: Vec::new(),
        }
    }

    /// Another router, or another link to the same one, is the collector.
    pub(crate) fn change_collector(&mut self, collector: Incarnation, now: Millis) {
        self.sent.clear();
        self.next_at = 0;
        self.settled_at = now + SETTLING;
        let mut held = self.collectors.iter();
        let held = held.position(|counted| counted.collector == collector);
        let counted = held.map_or_else(
            || Counted {
                collector,
                tokens: HashMap::new(),
            },
            |index| self.collectors.remove(index),
        );
        self.collectors.push(counted);
        if self.collectors.len() > MAX_COLLECTORS {
            self.collectors.remove(0);
        }
    }

    /// When the next report is due.
    #[must_use]
    pub fn next_at(&self) -> Millis {
        self.next_at
    }

    /// Whether the collector settles.
    pub(crate) fn is_settling(&self, now: Millis) -> bool {
        now < self.settled_at
    }

    /// The collector has counted a report.
    pub(crate) fn count(&mut self, ledger: &mut Ledger, sequence: u64, now: Millis) {
        let settling = self.is_settling(now);
        let Some(counted) = self.collectors.last_mut() else {
            return;
        };
        if sequence != self.sequence {
            return;
        }
        for key in std::mem::take(&mut self.sent) {
            if let Some((customer, tokens)) = ledger.count_reported(key, settling) {
                *counted.tokens.entry(customer).or_default() += tokens;
            }
        }
    }

    /// The report that is due, if any. While requests wait there is one even with
    /// nothing to tell, since its answer brings the fleet-wide counts.
    pub(crate) fn report(&mut self, ledger: &mut Ledger, now: Millis) -> Option<Report> {
        let counted = self.collectors.last()?;
        if now < self.next_at || !ledger.has_news() {
            return None;
        }
        self.next_at = now + REPORT_INTERVAL;
        self.sequence += 1;
        self.sent = ledger.mark_reported();
        let usage = self.sent.iter().map(|key| {
            let account = ledger.account(*key);
            let before = counted.tokens.get(&account.customer);
            Usage {
                pool: self.pool,
                customer: account.customer,
                tokens: before.copied().unwrap_or_default() + account.uncounted(),
            }
        });
        Some(Report {
            sequence: self.sequence,
            usage: usage.collect(),
        })
    }
}
