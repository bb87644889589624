//! Counters sent to one receiver.

use std::cmp::Reverse;
use std::collections::{HashMap, VecDeque};

use mulberryyoke_model::{Flow, Millis, PoolId};

use super::counters::{Counter, Counters};
use super::{Account, Limits};

/// Fraction of a full message, as a divisor, reserved for counters within the error
/// limit, so that every counter eventually reaches its exact value.
const EXACT_DIVISOR: usize = 8;

/// Maximum number of unacknowledged messages tracked.
const MAX_IN_FLIGHT: usize = 8;

/// Value of a counter as sent.
#[derive(Clone, Copy, Debug)]
struct Sent {
    tokens: u64,
    rate: u32,
    at: Millis,
}

/// Counters sent to one instance of a receiver.
#[derive(Debug, Default)]
pub(super) struct Outbound {
    has_acknowledged: bool,
    acknowledged: HashMap<Account, Sent>,
    in_flight: VecDeque<(u64, Vec<(Account, Sent)>)>,
}

impl Outbound {
    /// Selects the counters for the message with the given sequence number.
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
        let mut selected: Vec<(Account, Counter)> = changed.map(|(a, c)| (a, *c)).collect();
        let predict = self.has_acknowledged && selected.len() > limits.max_entries;
        if predict {
            selected = self.select(selected, now, limits);
        }
        let mut batch = Vec::with_capacity(selected.len());
        let mut flows = Vec::with_capacity(selected.len());
        for (account, counter) in selected {
            let sent = Sent {
                tokens: counter.tokens,
                rate: if predict { counter.rate } else { 0 },
                at: now,
            };
            batch.push((account, sent));
            flows.push(account.flow(sent.tokens, sent.rate));
        }
        self.track(sequence, batch);
        flows
    }

    /// Processes an acknowledgement. Earlier messages may or may not have arrived: their
    /// counters are sent again if they differ from the acknowledged values. Zero means
    /// that the receiver holds no state.
    pub(super) fn acknowledge(&mut self, counted: u64) {
        if counted == 0 {
            self.has_acknowledged = false;
            self.acknowledged.clear();
        }
        while self
            .in_flight
            .front()
            .is_some_and(|(sequence, _)| *sequence <= counted)
        {
            if let Some((sequence, batch)) = self.in_flight.pop_front()
                && sequence == counted
            {
                self.has_acknowledged = true;
                self.acknowledged.extend(batch);
            }
        }
    }

    /// Value of a counter that the receiver computes at `now`.
    pub(super) fn at_receiver(&self, account: Account, now: Millis, horizon_ms: Millis) -> u64 {
        let sent = self.acknowledged.get(&account);
        sent.map_or(0, |sent| {
            predict(sent.tokens, sent.rate, sent.at, now, horizon_ms)
        })
    }

    /// Value of a counter that the receiver has acknowledged.
    pub(super) fn acknowledged(&self, account: Account) -> u64 {
        self.acknowledged
            .get(&account)
            .map_or(0, |sent| sent.tokens)
    }

    fn track(&mut self, sequence: u64, batch: Vec<(Account, Sent)>) {
        self.in_flight.push_back((sequence, batch));
        if self.in_flight.len() > MAX_IN_FLIGHT {
            self.in_flight.pop_front();
        }
    }

    fn is_due(&self, account: Account, counter: &Counter) -> bool {
        match self.acknowledged.get(&account) {
            None => counter.tokens > 0,
            Some(sent) => sent.rate > 0 || sent.tokens != counter.tokens,
        }
    }

    /// The counters with the largest prediction error, and some within the limit.
    fn select(
        &self,
        changed: Vec<(Account, Counter)>,
        now: Millis,
        limits: &Limits,
    ) -> Vec<(Account, Counter)> {
        let error = |(account, counter): &(Account, Counter)| {
            let predicted = self.at_receiver(*account, now, limits.horizon_ms);
            predicted.abs_diff(counter.tokens)
        };
        let mut ranked: Vec<_> = changed
            .into_iter()
            .map(|entry| (error(&entry), entry))
            .collect();
        ranked.sort_unstable_by_key(|(error, (account, _))| (Reverse(*error), *account));
        let over = ranked.partition_point(|(error, _)| *error > limits.max_error);
        let count = (over + (limits.max_entries / EXACT_DIVISOR).max(1)).min(limits.max_entries);
        ranked.truncate(count);
        ranked.into_iter().map(|(_, entry)| entry).collect()
    }
}

/// Extrapolates a counter at its rate, up to the horizon.
pub(super) fn predict(tokens: u64, rate: u32, at: Millis, now: Millis, horizon_ms: Millis) -> u64 {
    let elapsed_ms = now.saturating_sub(at).min(horizon_ms);
    tokens + u64::from(rate) * elapsed_ms / 1_000
}
