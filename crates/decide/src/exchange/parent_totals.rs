//! Totals received from a parent.

use std::collections::HashMap;

use mulberryyoke_model::{Millis, Statement};

use super::inbound::Inbound;
use super::{Account, Instance};

/// Totals received from one instance of a parent.
#[derive(Debug)]
pub(super) struct ParentTotals {
    inbound: Inbound,
    /// Part of the parent's totals, plus the tokens it has yet to count, that this
    /// router's totals include.
    applied: HashMap<Account, u64>,
    is_first: bool,
}

impl ParentTotals {
    /// Starts with no totals; `pending` is what the parent has yet to count.
    pub(super) fn new(parent: Instance, now: Millis, pending: Vec<(Account, u64)>) -> Self {
        Self {
            inbound: Inbound::new(parent, false, now),
            applied: pending.into_iter().collect(),
            is_first: true,
        }
    }

    pub(super) fn instance(&self) -> Instance {
        self.inbound.instance()
    }

    pub(super) fn sequence(&self) -> u64 {
        self.inbound.sequence()
    }

    pub(super) fn receive(&mut self, statement: &Statement, now: Millis) {
        self.inbound.receive(statement, now);
    }

    /// Age of the totals in milliseconds; `None` if the parent is silent.
    pub(super) fn age(&self, now: Millis, fresh_ms: Millis) -> Option<Millis> {
        self.inbound.age(now, fresh_ms)
    }

    /// Records tokens counted by this router, which the parent's totals will include
    /// later.
    pub(super) fn credit(&mut self, account: Account, tokens: u64) {
        *self.applied.entry(account).or_default() += tokens;
    }

    /// Calls `on_growth` for each total that has grown since the last call. `pending`
    /// returns the tokens of an account that the parent has yet to count.
    pub(super) fn apply(
        &mut self,
        now: Millis,
        horizon_ms: Millis,
        pending: impl Fn(Account) -> u64,
        mut on_growth: impl FnMut(Account, u64),
    ) {
        if self.inbound.sequence() == 0 {
            return;
        }
        let is_first = std::mem::take(&mut self.is_first);
        for (account, value) in self.inbound.predicted(now, horizon_ms) {
            let value = value + pending(account);
            let applied = self.applied.entry(account).or_default();
            if is_first {
                *applied = value;
            } else if value > *applied {
                on_growth(account, value - *applied);
                *applied = value;
            }
        }
    }
}
