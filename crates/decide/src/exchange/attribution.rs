//! Attribution of this router's tokens to their receiver.

use std::collections::HashMap;

use mulberryyoke_model::{Incarnation, Millis};

use super::Account;
use super::counters::Counters;

/// Maximum number of former parents whose counters are kept for when one becomes the
/// parent again.
const MAX_FORMER_PARENTS: usize = 16;

/// Receiver of this router's counters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) enum Target {
    /// All peers as a group.
    #[default]
    Peers,
    /// One instance of a parent.
    Parent(Incarnation),
}

/// This router's counters, with each token attributed to one target.
#[derive(Debug, Default)]
pub(super) struct Attribution {
    target: Target,
    counters: HashMap<Target, Counters>,
    /// Former parents, oldest first.
    former_parents: Vec<Target>,
}

impl Attribution {
    pub(super) fn target(&self) -> Target {
        self.target
    }

    pub(super) fn add(&mut self, account: Account, tokens: u64) {
        let counters = self.counters.entry(self.target).or_default();
        counters.add(account, tokens);
    }

    pub(super) fn get(&self, account: Account) -> u64 {
        let counters = self.counters.get(&self.target);
        counters.map_or(0, |counters| counters.get(account))
    }

    pub(super) fn counters(&mut self, target: Target) -> &Counters {
        self.counters.entry(target).or_default()
    }

    /// Changes the target. Tokens that the old target has not acknowledged are
    /// attributed to the new one, and returned.
    pub(super) fn switch(
        &mut self,
        target: Target,
        acknowledged: impl Fn(Account) -> u64,
    ) -> Vec<(Account, u64)> {
        let old = self.counters.entry(self.target).or_default();
        let moved: Vec<(Account, u64)> = old
            .iter()
            .map(|(account, counter)| {
                (
                    account,
                    counter.tokens - acknowledged(account).min(counter.tokens),
                )
            })
            .filter(|(_, tokens)| *tokens > 0)
            .collect();
        for (account, tokens) in &moved {
            old.subtract(*account, *tokens);
        }
        self.retain_former(self.target);
        self.target = target;
        self.former_parents.retain(|former| *former != target);
        for (account, tokens) in &moved {
            self.add(*account, *tokens);
        }
        moved
    }

    pub(super) fn update_rates(&mut self, elapsed_ms: Millis) {
        if let Some(counters) = self.counters.get_mut(&self.target) {
            counters.update_rates(elapsed_ms);
        }
    }

    fn retain_former(&mut self, target: Target) {
        if target == Target::Peers {
            return;
        }
        self.former_parents.push(target);
        if self.former_parents.len() > MAX_FORMER_PARENTS {
            let oldest = self.former_parents.remove(0);
            self.counters.remove(&oldest);
        }
    }
}
