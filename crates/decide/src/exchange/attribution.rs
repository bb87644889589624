//! Who is handed what this router counts.

use std::collections::HashMap;

use mulberryyoke_model::{Incarnation, Millis};

use super::Account;
use super::counters::Counters;

/// Former parents whose counters are kept, in case one is parent again.
const KEPT: usize = 16;

/// Whom counters are handed to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) enum Target {
    /// All peers together.
    #[default]
    Peers,
    /// One life of a parent.
    Parent(Incarnation),
}

/// This router's counters, each token attributed to one target.
#[derive(Debug, Default)]
pub(super) struct Attribution {
    target: Target,
    counters: HashMap<Target, Counters>,
    /// Former parents, the latest last.
    former: Vec<Target>,
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

    /// The counters of a target.
    pub(super) fn counters(&mut self, target: Target) -> &Counters {
        self.counters.entry(target).or_default()
    }

    /// Changes the target. What the old one has not `confirmed` goes to the new one,
    /// and is returned.
    pub(super) fn switch(
        &mut self,
        target: Target,
        confirmed: impl Fn(Account) -> u64,
    ) -> Vec<(Account, u64)> {
        let old = self.counters.entry(self.target).or_default();
        let left: Vec<(Account, u64)> = old
            .iter()
            .map(|(account, counter)| {
                (
                    account,
                    counter.tokens - confirmed(account).min(counter.tokens),
                )
            })
            .filter(|(_, tokens)| *tokens > 0)
            .collect();
        for (account, tokens) in &left {
            old.take(*account, *tokens);
        }
        self.remember(self.target);
        self.target = target;
        self.former.retain(|former| *former != target);
        for (account, tokens) in &left {
            self.add(*account, *tokens);
        }
        left
    }

    pub(super) fn pace(&mut self, elapsed_ms: Millis) {
        if let Some(counters) = self.counters.get_mut(&self.target) {
            counters.pace(elapsed_ms);
        }
    }

    fn remember(&mut self, target: Target) {
        if target == Target::Peers {
            return;
        }
        self.former.push(target);
        if self.former.len() > KEPT {
            let oldest = self.former.remove(0);
            self.counters.remove(&oldest);
        }
    }
}
