//! Counters as heard from one origin.

use std::collections::HashMap;

use mulberryyoke_model::{Flow, Known, Millis, PoolId, Statement, Tally};

use super::account::flatten;
use super::outbound::predict;
use super::{Account, Instance};

#[derive(Clone, Copy, Debug, Default)]
struct Held {
    tokens: u64,
    rate: u32,
    at: Millis,
    sequence: u64,
    /// How much of it the totals include.
    settled: u64,
}

/// Counters as heard from one origin's life.
#[derive(Debug)]
pub(super) struct Inbound {
    life: Instance,
    /// Whether counting begins at the values first heard.
    rebased: bool,
    /// The last sequence number heard from the origin itself.
    sequence: u64,
    heard_at: Millis,
    /// How old what it counts was by then, in milliseconds.
    age_ms: u32,
    changed_at: Millis,
    /// Sum of the counters at the last comparison.
    compared: u64,
    held: HashMap<Account, Held>,
}

impl Inbound {
    pub(super) fn open(life: Instance, rebased: bool, now: Millis) -> Self {
        Self {
            life,
            rebased,
            sequence: 0,
            heard_at: 0,
            age_ms: 0,
            changed_at: now,
            compared: 0,
            held: HashMap::new(),
        }
    }

    pub(super) fn life(&self) -> Instance {
        self.life
    }

    pub(super) fn sequence(&self) -> u64 {
        self.sequence
    }

    /// How old what is known of it is, in milliseconds; `None` if it was not heard for
    /// a while.
    pub(super) fn age(&self, now: Millis, fresh_ms: Millis) -> Option<Millis> {
        let silent_ms = now.saturating_sub(self.heard_at);
        let is_fresh = self.sequence > 0 && silent_ms <= fresh_ms;
        is_fresh.then_some(silent_ms + Millis::from(self.age_ms))
    }

    /// When anything was heard of it last.
    pub(super) fn changed_at(&self) -> Millis {
        self.changed_at.max(self.heard_at)
    }

    /// Takes in what the origin itself says.
    pub(super) fn hear(&mut self, statement: &Statement, now: Millis) {
        let sequence = statement.sequence;
        let rebase = self.rebased && self.sequence == 0;
        for (account, flow) in flatten(&statement.tallies) {
            let held = self.open_account(account, flow.tokens, rebase);
            held.tokens = held.tokens.max(flow.tokens);
            if sequence > held.sequence {
                held.sequence = sequence;
                held.rate = flow.rate;
                held.at = now;
            }
        }
        if sequence > self.sequence {
            self.age_ms = statement.age_ms;
        }
        self.sequence = self.sequence.max(sequence);
        self.heard_at = now;
    }

    /// Takes in what another says of the origin.
    pub(super) fn learn(&mut self, tallies: &[Tally], now: Millis) {
        let rebase = self.rebased && self.sequence == 0;
        for (account, flow) in flatten(tallies) {
            let held = self.open_account(account, flow.tokens, rebase);
            if flow.tokens > held.tokens {
                held.tokens = flow.tokens;
                self.changed_at = now;
            }
        }
    }

    /// Tells by how much each counter has grown since the last call.
    pub(super) fn settle(
        &mut self,
        now: Millis,
        horizon_ms: Millis,
        mut grown: impl FnMut(Account, u64),
    ) {
        for (account, held) in &mut self.held {
            let value = predict(held.tokens, held.rate, held.at, now, horizon_ms);
            if value > held.settled {
                grown(*account, value - held.settled);
                held.settled = value;
            }
        }
    }

    /// The value of a counter now, as predicted.
    pub(super) fn values(
        &self,
        now: Millis,
        horizon_ms: Millis,
    ) -> impl Iterator<Item = (Account, u64)> {
        self.held.iter().map(move |(account, held)| {
            let value = predict(held.tokens, held.rate, held.at, now, horizon_ms);
            (*account, value)
        })
    }

    /// Sum of the counters.
    pub(super) fn sum(&self) -> u64 {
        self.held.values().map(|held| held.tokens).sum()
    }

    /// Sum of the counters at the last comparison; this is the next one.
    pub(super) fn compare(&mut self) {
        self.compared = self.sum();
    }

    /// What another must have heard by now.
    pub(super) fn compared(&self) -> u64 {
        self.compared
    }

    pub(super) fn known(&self, now: Millis, fresh_ms: Millis) -> Known {
        let fresh = self.sequence > 0 && now.saturating_sub(self.heard_at) <= fresh_ms;
        Known {
            origin: self.life.incarnation,
            sum: if fresh { u64::MAX } else { self.sum() },
        }
    }

    /// Some of the counters, each round the next ones.
    pub(super) fn slice(&self, round: usize, most: usize) -> Vec<(PoolId, Flow)> {
        let mut accounts: Vec<(Account, u64)> = self
            .held
            .iter()
            .map(|(account, held)| (*account, held.tokens))
            .collect();
        accounts.sort_unstable();
        let rounds = accounts.len().div_ceil(most.max(1)).max(1);
        let skipped = accounts.into_iter().skip(round % rounds * most);
        skipped
            .take(most)
            .map(|(account, tokens)| account.flow(tokens, 0))
            .collect()
    }

    fn open_account(&mut self, account: Account, tokens: u64, rebase: bool) -> &mut Held {
        self.held.entry(account).or_insert_with(|| Held {
            settled: if rebase { tokens } else { 0 },
            ..Held::default()
        })
    }
}
