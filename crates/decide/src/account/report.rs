//! Reports of service to the collector.

use std::collections::VecDeque;

use mulberryyoke_model::{Millis, PoolId, Report, Usage};

use super::{AccountKey, Ledger};

/// Least time between two reports, in milliseconds.
pub const REPORT_INTERVAL: Millis = 1_000;

/// How long the counts of a new collector only set where later ones count from,
/// in milliseconds: a router that has just started still learns the past.
pub const SETTLING: Millis = 3_000;

/// Longest lag that is made up for, in milliseconds.
pub const MAX_LAG: Millis = 60_000;

/// Counted service that peers' equal service has not caught up with.
#[derive(Clone, Debug)]
struct Recent {
    until: Millis,
    accounts: Vec<(AccountKey, u64)>,
}

/// Sends what was charged, one report at a time, until it is counted.
#[derive(Clone, Debug)]
pub struct Reporter {
    pool: PoolId,
    sequence: u64,
    /// Accounts in the report on its way.
    sent: Vec<AccountKey>,
    /// When the next report is due.
    next_at: Millis,
    /// Whether the collector has to be told every account.
    fresh: bool,
    /// Until when the present collector settles.
    settled_at: Millis,
    /// How late peers' service comes in the fleet-wide counts, in milliseconds.
    lag: Millis,
    recent: VecDeque<Recent>,
}

impl Reporter {
    /// A reporter of service in a pool.
    #[must_use]
    pub fn new(pool: PoolId) -> Self {
        Self {
            pool,
            sequence: 0,
            sent: Vec::new(),
            next_at: 0,
            fresh: true,
            settled_at: 0,
            lag: 0,
            recent: VecDeque::new(),
        }
    }

    /// Another router, or another link to the same one, is the collector.
    pub(crate) fn change_collector(&mut self, now: Millis) {
        self.sent.clear();
        self.next_at = 0;
        self.fresh = true;
        self.settled_at = now + SETTLING;
    }

    /// Sets how late peers' service comes in the fleet-wide counts.
    pub(crate) fn set_lag(&mut self, lag: Millis) {
        self.lag = lag.min(MAX_LAG);
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
    pub(crate) fn acknowledge(&mut self, ledger: &mut Ledger, sequence: u64, now: Millis) {
        if sequence != self.sequence {
            return;
        }
        let settling = self.is_settling(now);
        let sent = std::mem::take(&mut self.sent);
        let counted = sent.into_iter().filter_map(|key| {
            let tokens = ledger.count_reported(key, settling)?;
            Some((key, tokens))
        });
        let accounts = counted.collect();
        if settling {
            return;
        }
        let until = now + self.lag;
        self.recent.push_back(Recent { until, accounts });
    }

    /// Lets go of counted service that peers' has caught up with.
    pub(crate) fn catch_up(&mut self, ledger: &mut Ledger, now: Millis) {
        while let Some(recent) = self.recent.pop_front_if(|recent| recent.until <= now) {
            for (key, tokens) in recent.accounts {
                ledger.catch_up(key, tokens);
            }
        }
    }

    /// The report that is due, if any. While requests wait there is one even with
    /// nothing to tell, since its answer brings the fleet-wide counts.
    pub(crate) fn next_report(&mut self, ledger: &mut Ledger, now: Millis) -> Option<Report> {
        if now < self.next_at || !ledger.needs_report() {
            return None;
        }
        self.next_at = now + REPORT_INTERVAL;
        self.sequence += 1;
        let fresh = std::mem::take(&mut self.fresh);
        self.sent = ledger.mark_reported(fresh);
        let usage = self.sent.iter().map(|key| {
            let account = ledger.account(*key);
            Usage {
                pool: self.pool,
                customer: account.customer,
                tokens: account.charged,
            }
        });
        Some(Report {
            sequence: self.sequence,
            usage: usage.collect(),
        })
    }
}
