//! Cumulative counters and their growth rates.

use std::collections::HashMap;

use mulberryyoke_model::Millis;

use super::Account;

/// Divisor for the weight of the latest interval in the moving average of a rate.
const SMOOTHING: u64 = 4;

/// A cumulative counter.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Counter {
    pub(super) tokens: u64,
    /// Exponential moving average of the growth, in tokens per second.
    pub(super) rate: u32,
    /// Tokens at the last rate update.
    previous: u64,
}

/// Cumulative counters by account.
#[derive(Debug, Default)]
pub(super) struct Counters(HashMap<Account, Counter>);

impl Counters {
    pub(super) fn get(&self, account: Account) -> u64 {
        self.0.get(&account).map_or(0, |counter| counter.tokens)
    }

    pub(super) fn add(&mut self, account: Account, tokens: u64) {
        self.0.entry(account).or_default().tokens += tokens;
    }

    /// Subtracts tokens that are now attributed to another target.
    pub(super) fn subtract(&mut self, account: Account, tokens: u64) {
        let counter = self.0.entry(account).or_default();
        counter.tokens = counter.tokens.saturating_sub(tokens);
        counter.previous = counter.previous.min(counter.tokens);
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (Account, &Counter)> {
        self.0.iter().map(|(account, counter)| (*account, counter))
    }

    /// Updates the rates with the growth since the last call.
    pub(super) fn update_rates(&mut self, elapsed_ms: Millis) {
        let elapsed_ms = elapsed_ms.max(1);
        for counter in self.0.values_mut() {
            let growth = counter.tokens - counter.previous;
            let latest = growth.saturating_mul(1_000) / elapsed_ms;
            let mean = (u64::from(counter.rate) * (SMOOTHING - 1) + latest) / SMOOTHING;
            counter.rate = u32::try_from(mean).unwrap_or(u32::MAX);
            counter.previous = counter.tokens;
        }
    }
}
