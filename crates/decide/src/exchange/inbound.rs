//! Counters received from one origin.

use std::collections::HashMap;

use mulberryyoke_model::{Flow, Millis, OriginSum, PoolCounters, PoolId, Statement};

use super::account::flatten;
use super::outbound::predict;
use super::{Account, Instance};

#[derive(Clone, Copy, Debug, Default)]
struct Received {
    tokens: u64,
    rate: u32,
    at: Millis,
    sequence: u64,
    /// Tokens already added to the totals.
    applied: u64,
}

/// Counters received from one instance of an origin.
#[derive(Debug)]
pub(super) struct Inbound {
    instance: Instance,
    /// Whether counters start at the first value received instead of zero.
    is_rebased: bool,
    /// Highest sequence number received from the origin itself.
    sequence: u64,
    received_at: Millis,
    /// Age of the counters when received, in milliseconds.
    age_ms: u32,
    relayed_at: Millis,
    /// Sum of the counters at the last checkpoint.
    checkpoint: u64,
    counters: HashMap<Account, Received>,
}

impl Inbound {
    pub(super) fn new(instance: Instance, is_rebased: bool, now: Millis) -> Self {
        Self {
            instance,
            is_rebased,
            sequence: 0,
            received_at: 0,
            age_ms: 0,
            relayed_at: now,
            checkpoint: 0,
            counters: HashMap::new(),
        }
    }

    pub(super) fn instance(&self) -> Instance {
        self.instance
    }

    pub(super) fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Age of the counters in milliseconds; `None` if the origin has been silent for
    /// longer than `fresh_ms`.
    pub(super) fn age(&self, now: Millis, fresh_ms: Millis) -> Option<Millis> {
        let silent_ms = now.saturating_sub(self.received_at);
        let is_fresh = self.sequence > 0 && silent_ms <= fresh_ms;
        is_fresh.then_some(silent_ms + Millis::from(self.age_ms))
    }

    /// Time of the last update, from the origin or relayed.
    pub(super) fn updated_at(&self) -> Millis {
        self.relayed_at.max(self.received_at)
    }

    /// Processes a statement of the origin itself.
    pub(super) fn receive(&mut self, statement: &Statement, now: Millis) {
        let sequence = statement.sequence;
        let rebase = self.is_rebased && self.sequence == 0;
        for (account, flow) in flatten(&statement.pools) {
            let counter = self.counter(account, flow.tokens, rebase);
            counter.tokens = counter.tokens.max(flow.tokens);
            if sequence > counter.sequence {
                counter.sequence = sequence;
                counter.rate = flow.rate;
                counter.at = now;
            }
        }
        if sequence > self.sequence {
            self.age_ms = statement.age_ms;
        }
        self.sequence = self.sequence.max(sequence);
        self.received_at = now;
    }

    /// Merges counters of the origin relayed by another router.
    pub(super) fn receive_relayed(&mut self, pools: &[PoolCounters], now: Millis) {
        let rebase = self.is_rebased && self.sequence == 0;
        for (account, flow) in flatten(pools) {
            let counter = self.counter(account, flow.tokens, rebase);
            if flow.tokens > counter.tokens {
                counter.tokens = flow.tokens;
                self.relayed_at = now;
            }
        }
    }

    /// Calls `on_growth` for each counter that has grown since the last call.
    pub(super) fn apply(
        &mut self,
        now: Millis,
        horizon_ms: Millis,
        mut on_growth: impl FnMut(Account, u64),
    ) {
        for (account, counter) in &mut self.counters {
            let value = predict(counter.tokens, counter.rate, counter.at, now, horizon_ms);
            if value > counter.applied {
                on_growth(*account, value - counter.applied);
                counter.applied = value;
            }
        }
    }

    /// Predicted values of the counters at `now`.
    pub(super) fn predicted(
        &self,
        now: Millis,
        horizon_ms: Millis,
    ) -> impl Iterator<Item = (Account, u64)> {
        self.counters.iter().map(move |(account, counter)| {
            let value = predict(counter.tokens, counter.rate, counter.at, now, horizon_ms);
            (*account, value)
        })
    }

    pub(super) fn sum(&self) -> u64 {
        self.counters.values().map(|counter| counter.tokens).sum()
    }

    /// Records the current sum of the counters as the checkpoint.
    pub(super) fn set_checkpoint(&mut self) {
        self.checkpoint = self.sum();
    }

    /// Sum of the counters at the last checkpoint; a peer with a lower sum needs
    /// repair.
    pub(super) fn checkpoint(&self) -> u64 {
        self.checkpoint
    }

    pub(super) fn digest(&self, now: Millis, fresh_ms: Millis) -> OriginSum {
        let is_fresh = self.sequence > 0 && now.saturating_sub(self.received_at) <= fresh_ms;
        OriginSum {
            origin: self.instance.incarnation,
            sum: if is_fresh { u64::MAX } else { self.sum() },
        }
    }

    /// One page of the counters, in account order. Page numbers wrap around.
    pub(super) fn page(&self, page: usize, page_size: usize) -> Vec<(PoolId, Flow)> {
        let mut accounts: Vec<(Account, u64)> = self
            .counters
            .iter()
            .map(|(account, counter)| (*account, counter.tokens))
            .collect();
        accounts.sort_unstable();
        let pages = accounts.len().div_ceil(page_size.max(1)).max(1);
        let skipped = accounts.into_iter().skip(page % pages * page_size);
        skipped
            .take(page_size)
            .map(|(account, tokens)| account.flow(tokens, 0))
            .collect()
    }

    fn counter(&mut self, account: Account, tokens: u64, rebase: bool) -> &mut Received {
        self.counters.entry(account).or_insert_with(|| Received {
            applied: if rebase { tokens } else { 0 },
            ..Received::default()
        })
    }
}
