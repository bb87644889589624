//! Cumulative counters and the pace at which they grow.

use std::collections::HashMap;

use mulberryyoke_model::Millis;

use super::Account;

/// Share of the latest interval in the mean pace: one in this many.
const SMOOTHING: u64 = 4;

/// One cumulative counter.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Counter {
    /// Tokens.
    pub(super) tokens: u64,
    /// Mean pace, in tokens a second.
    pub(super) rate: u32,
    before: u64,
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

    /// Takes tokens back that are attributed elsewhere.
    pub(super) fn take(&mut self, account: Account, tokens: u64) {
        let counter = self.0.entry(account).or_default();
        counter.tokens = counter.tokens.saturating_sub(tokens);
        counter.before = counter.before.min(counter.tokens);
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (Account, &Counter)> {
        self.0.iter().map(|(account, counter)| (*account, counter))
    }

    /// Measures the pace over the time since the last call.
    pub(super) fn pace(&mut self, elapsed_ms: Millis) {
        let elapsed_ms = elapsed_ms.max(1);
        for counter in self.0.values_mut() {
            let grown = counter.tokens - counter.before;
            let latest = grown.saturating_mul(1_000) / elapsed_ms;
            let mean = (u64::from(counter.rate) * (SMOOTHING - 1) + latest) / SMOOTHING;
            counter.rate = u32::try_from(mean).unwrap_or(u32::MAX);
            counter.before = counter.tokens;
        }
    }
}
