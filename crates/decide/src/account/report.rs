//! Usage reports to the collector.

use std::collections::VecDeque;

use mulberryyoke_model::{Millis, PoolId, Report, Usage};

use super::{AccountKey, Ledger};

/// Minimum time between two reports, in milliseconds.
pub const REPORT_INTERVAL: Millis = 1_000;

/// How long the totals of a new collector only serve as a baseline, in
/// milliseconds. A router that has just started still collects earlier usage.
pub const SETTLING: Millis = 3_000;

/// Maximum lag that is compensated for, in milliseconds.
pub const MAX_LAG: Millis = 60_000;

/// Acknowledged service for which the peers' concurrent service has not been
/// received yet.
#[derive(Clone, Debug)]
struct AwaitingPeers {
    until: Millis,
    accounts: Vec<(AccountKey, u64)>,
}

/// Reports charges to the collector, one report at a time, until each one is
/// acknowledged.
#[derive(Clone, Debug)]
pub struct Reporter {
    pool: PoolId,
    sequence: u64,
    /// Accounts in the report in flight.
    in_flight: Vec<AccountKey>,
    next_at: Millis,
    /// Whether the next report covers every account ever charged.
    full: bool,
    /// When the current collector's totals become usable.
    settled_at: Millis,
    /// Delay of the peers' service in the fleet-wide totals, in milliseconds.
    lag: Millis,
    awaiting_peers: VecDeque<AwaitingPeers>,
}

impl Reporter {
    /// Creates a reporter for a pool.
    #[must_use]
    pub fn new(pool: PoolId) -> Self {
        Self {
            pool,
            sequence: 0,
            in_flight: Vec::new(),
            next_at: 0,
            full: true,
            settled_at: 0,
            lag: 0,
            awaiting_peers: VecDeque::new(),
        }
    }

    /// Starts over with a new collector: another router, or another link to the
    /// same one.
    pub(crate) fn change_collector(&mut self, now: Millis) {
        self.in_flight.clear();
        self.next_at = 0;
        self.full = true;
        self.settled_at = now + SETTLING;
    }

    /// Sets the delay of the peers' service in the fleet-wide totals.
    pub(crate) fn set_lag(&mut self, lag: Millis) {
        self.lag = lag.min(MAX_LAG);
    }

    /// When the next report is due.
    #[must_use]
    pub fn next_at(&self) -> Millis {
        self.next_at
    }

    /// Whether the collector's totals only serve as a baseline so far.
    pub(crate) fn is_settling(&self, now: Millis) -> bool {
        now < self.settled_at
    }

    /// Handles the acknowledgement of a report by the collector.
    pub(crate) fn acknowledge(&mut self, ledger: &mut Ledger, sequence: u64, now: Millis) {
        if sequence != self.sequence {
            return;
        }
        let settling = self.is_settling(now);
        let in_flight = std::mem::take(&mut self.in_flight);
        let acknowledged = in_flight.into_iter().filter_map(|key| {
            let tokens = ledger.acknowledge_reported(key, settling)?;
            Some((key, tokens))
        });
        let accounts = acknowledged.collect();
        if settling {
            return;
        }
        let until = now + self.lag;
        self.awaiting_peers
            .push_back(AwaitingPeers { until, accounts });
    }

    /// Drops acknowledged service whose counterpart at the peers is in the totals by
    /// now.
    pub(crate) fn catch_up(&mut self, ledger: &mut Ledger, now: Millis) {
        while let Some(expired) = self
            .awaiting_peers
            .pop_front_if(|awaiting| awaiting.until <= now)
        {
            for (key, tokens) in expired.accounts {
                ledger.catch_up(key, tokens);
            }
        }
    }

    /// Returns the next report if it is due. While requests wait, an empty report is
    /// sent too, since the reply carries the fleet-wide totals.
    pub(crate) fn next_report(&mut self, ledger: &mut Ledger, now: Millis) -> Option<Report> {
        if now < self.next_at || !ledger.needs_report() {
            return None;
        }
        self.next_at = now + REPORT_INTERVAL;
        self.sequence += 1;
        let full = std::mem::take(&mut self.full);
        self.in_flight = ledger.mark_reported(full);
        let usage = self.in_flight.iter().map(|key| {
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
