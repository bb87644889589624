//! Counters on their way to one receiver.

use std::cmp::Reverse;
use std::collections::{HashMap, VecDeque};

use mulberryyoke_model::{Flow, Millis, PoolId};

use super::counters::{Counter, Counters};
use super::{Account, Limits};

/// Share of a full message that goes to counters within the error bound, so that
/// the last few tokens of each are told in the end.
const REST: usize = 8;

/// Most messages kept that the receiver has not answered.
const PENDING: usize = 8;

/// What the receiver holds.
#[derive(Clone, Copy, Debug)]
struct Sent {
    tokens: u64,
    rate: u32,
    at: Millis,
}

/// Counters on their way to one receiver's life.
#[derive(Debug, Default)]
pub(super) struct Outbound {
    acknowledged: bool,
    sent: HashMap<Account, Sent>,
    pending: VecDeque<(u64, Vec<(Account, Sent)>)>,
}

impl Outbound {
    /// Chooses what to tell in the message of a sequence number.
    pub(super) fn compose(
        &mut self,
        sequence: u64,
        counters: &Counters,
        now: Millis,
        limits: &Limits,
    ) -> Vec<(PoolId, Flow)> {
        let changed = counters
            .iter()
            .filter(|(account, counter)| self.is_due(*account, counter));
        let mut chosen: Vec<(Account, Counter)> = changed.map(|(a, c)| (a, *c)).collect();
        let predict = self.acknowledged && chosen.len() > limits.max_entries;
        if predict {
            chosen = self.select(chosen, now, limits);
        }
        let mut batch = Vec::with_capacity(chosen.len());
        let mut flows = Vec::with_capacity(chosen.len());
        for (account, counter) in chosen {
            let sent = Sent {
                tokens: counter.tokens,
                rate: if predict { counter.rate } else { 0 },
                at: now,
            };
            batch.push((account, sent));
            flows.push(account.flow(sent.tokens, sent.rate));
        }
        self.keep(sequence, batch);
        flows
    }

    /// The receiver has taken in a message. Of earlier ones it may have: they are told
    /// again as far as they differ from what it surely has. One that has taken in none
    /// has forgotten all.
    pub(super) fn acknowledge(&mut self, counted: u64) {
        if counted == 0 {
            self.acknowledged = false;
            self.sent.clear();
        }
        while self
            .pending
            .front()
            .is_some_and(|(sequence, _)| *sequence <= counted)
        {
            if let Some((sequence, batch)) = self.pending.pop_front()
                && sequence == counted
            {
                self.acknowledged = true;
                self.sent.extend(batch);
            }
        }
    }

    /// What the receiver takes a counter for now.
    pub(super) fn at_receiver(&self, account: Account, now: Millis, horizon_ms: Millis) -> u64 {
        let sent = self.sent.get(&account);
        sent.map_or(0, |sent| {
            predict(sent.tokens, sent.rate, sent.at, now, horizon_ms)
        })
    }

    /// What the receiver surely has of a counter.
    pub(super) fn confirmed(&self, account: Account) -> u64 {
        self.sent.get(&account).map_or(0, |sent| sent.tokens)
    }

    fn keep(&mut self, sequence: u64, batch: Vec<(Account, Sent)>) {
        self.pending.push_back((sequence, batch));
        if self.pending.len() > PENDING {
            self.pending.pop_front();
        }
    }

    fn is_due(&self, account: Account, counter: &Counter) -> bool {
        match self.sent.get(&account) {
            None => counter.tokens > 0,
            Some(sent) => sent.rate > 0 || sent.tokens != counter.tokens,
        }
    }

    /// Those furthest from their prediction, and a few of the others.
    fn select(
        &self,
        changed: Vec<(Account, Counter)>,
        now: Millis,
        limits: &Limits,
    ) -> Vec<(Account, Counter)> {
        let deviation = |(account, counter): &(Account, Counter)| {
            let held = self.at_receiver(*account, now, limits.horizon_ms);
            held.abs_diff(counter.tokens)
        };
        let mut ranked: Vec<_> = changed
            .into_iter()
            .map(|entry| (deviation(&entry), entry))
            .collect();
        ranked.sort_unstable_by_key(|(deviation, (account, _))| (Reverse(*deviation), *account));
        let over = ranked.partition_point(|(deviation, _)| *deviation > limits.max_error);
        let count = (over + (limits.max_entries / REST).max(1)).min(limits.max_entries);
        ranked.truncate(count);
        ranked.into_iter().map(|(_, entry)| entry).collect()
    }
}

/// A counter that grows at a rate until the horizon.
pub(super) fn predict(tokens: u64, rate: u32, at: Millis, now: Millis, horizon_ms: Millis) -> u64 {
    let elapsed_ms = now.saturating_sub(at).min(horizon_ms);
    tokens + u64::from(rate) * elapsed_ms / 1_000
}
