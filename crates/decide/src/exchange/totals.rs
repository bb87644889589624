//! The fleet's totals.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};

use mulberryyoke_model::{Millis, Usage};

use super::counters::Counters;
use super::{Account, Cursor};

/// The fleet's totals, and which of them changed when.
#[derive(Debug, Default)]
pub(super) struct Totals {
    counters: Counters,
    version: u64,
    changed: BTreeMap<u64, Account>,
    versions: HashMap<Account, u64>,
}

impl Totals {
    pub(super) fn add(&mut self, account: Account, tokens: u64) {
        if tokens == 0 {
            return;
        }
        self.counters.add(account, tokens);
        self.version += 1;
        if let Some(earlier) = self.versions.insert(account, self.version) {
            self.changed.remove(&earlier);
        }
        self.changed.insert(self.version, account);
    }

    pub(super) fn counters(&self) -> &Counters {
        &self.counters
    }

    pub(super) fn pace(&mut self, elapsed_ms: Millis) {
        self.counters.pace(elapsed_ms);
    }

    /// All that changed since the cursor.
    pub(super) fn since(&self, cursor: &mut Cursor) -> Vec<Usage> {
        let changed = self.changed.range(cursor.version + 1..);
        let usage = changed.map(|(_, account)| account.usage(self.counters.get(*account)));
        cursor.version = self.version;
        usage.collect()
    }

    /// The totals of `named` accounts, and up to `most` others, those that grew most
    /// since the reader was told. The first time all.
    pub(super) fn tell(&self, named: &[Account], most: usize, cursor: &mut Cursor) -> Vec<Usage> {
        let most = if cursor.told.is_empty() {
            usize::MAX
        } else {
            most
        };
        let others = self.grown(most, cursor);
        let mut usage = Vec::with_capacity(named.len() + others.len());
        for account in named.iter().copied().chain(others) {
            let tokens = self.counters.get(account);
            if cursor.told.insert(account, tokens) != Some(tokens) {
                usage.push(account.usage(tokens));
            }
        }
        usage
    }

    fn grown(&self, most: usize, cursor: &Cursor) -> Vec<Account> {
        let told = |account| cursor.told.get(&account).copied().unwrap_or(0);
        let growth = self
            .counters
            .iter()
            .map(|(account, counter)| (counter.tokens - told(account), account));
        let mut grown: Vec<(u64, Account)> = growth.filter(|(tokens, _)| *tokens > 0).collect();
        if grown.len() > most {
            grown.sort_unstable_by_key(|(tokens, account)| (Reverse(*tokens), *account));
            grown.truncate(most);
        }
        grown.into_iter().map(|(_, account)| account).collect()
    }
}
