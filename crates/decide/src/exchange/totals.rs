//! Totals of the fleet.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};

use mulberryyoke_model::{Millis, Usage};

use super::counters::Counters;
use super::{Account, Cursor};

/// Totals of the fleet, indexed by the version of their last change.
#[derive(Debug, Default)]
pub(super) struct Totals {
    counters: Counters,
    version: u64,
    by_version: BTreeMap<u64, Account>,
    versions: HashMap<Account, u64>,
}

impl Totals {
    pub(super) fn add(&mut self, account: Account, tokens: u64) {
        if tokens == 0 {
            return;
        }
        self.counters.add(account, tokens);
        self.version += 1;
        if let Some(previous) = self.versions.insert(account, self.version) {
            self.by_version.remove(&previous);
        }
        self.by_version.insert(self.version, account);
    }

    pub(super) fn counters(&self) -> &Counters {
        &self.counters
    }

    pub(super) fn update_rates(&mut self, elapsed_ms: Millis) {
        self.counters.update_rates(elapsed_ms);
    }

    /// Totals that changed since the cursor. Advances the cursor.
    pub(super) fn since(&self, cursor: &mut Cursor) -> Vec<Usage> {
        let changed = self.by_version.range(cursor.version + 1..);
        let usage = changed.map(|(_, account)| account.usage(self.counters.get(*account)));
        cursor.version = self.version;
        usage.collect()
    }

    /// Totals of the accounts in `reported` and of up to `max_others` others, largest
    /// growth since they were last sent first. The first call returns all.
    pub(super) fn select(
        &self,
        reported: &[Account],
        max_others: usize,
        cursor: &mut Cursor,
    ) -> Vec<Usage> {
        let max_others = if cursor.sent.is_empty() {
            usize::MAX
        } else {
            max_others
        };
        let others = self.most_grown(max_others, cursor);
        let mut usage = Vec::with_capacity(reported.len() + others.len());
        for account in reported.iter().copied().chain(others) {
            let tokens = self.counters.get(account);
            if cursor.sent.insert(account, tokens) != Some(tokens) {
                usage.push(account.usage(tokens));
            }
        }
        usage
    }

    fn most_grown(&self, max: usize, cursor: &Cursor) -> Vec<Account> {
        let sent = |account| cursor.sent.get(&account).copied().unwrap_or(0);
        let growth = self
            .counters
            .iter()
            .map(|(account, counter)| (counter.tokens - sent(account), account));
        let mut grown: Vec<(u64, Account)> = growth.filter(|(tokens, _)| *tokens > 0).collect();
        if grown.len() > max {
            grown.sort_unstable_by_key(|(tokens, account)| (Reverse(*tokens), *account));
            grown.truncate(max);
        }
        grown.into_iter().map(|(_, account)| account).collect()
    }
}
