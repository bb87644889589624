//! Totals as told by a parent.

use std::collections::HashMap;

use mulberryyoke_model::{Millis, Statement};

use super::inbound::Inbound;
use super::{Account, Instance};

/// Totals as told by one parent's life.
#[derive(Debug)]
pub(super) struct Told {
    inbound: Inbound,
    /// How much of the parent's totals, together with what it has not counted yet, the
    /// own totals include.
    settled: HashMap<Account, u64>,
    first: bool,
}

impl Told {
    /// Opens the totals of a parent's life that has yet to count `pending`.
    pub(super) fn open(parent: Instance, now: Millis, pending: Vec<(Account, u64)>) -> Self {
        Self {
            inbound: Inbound::open(parent, false, now),
            settled: pending.into_iter().collect(),
            first: true,
        }
    }

    pub(super) fn life(&self) -> Instance {
        self.inbound.life()
    }

    pub(super) fn sequence(&self) -> u64 {
        self.inbound.sequence()
    }

    pub(super) fn hear(&mut self, statement: &Statement, now: Millis) {
        self.inbound.hear(statement, now);
    }

    /// How old the totals are, in milliseconds; `None` if the parent is silent.
    pub(super) fn age(&self, now: Millis, fresh_ms: Millis) -> Option<Millis> {
        self.inbound.age(now, fresh_ms)
    }

    /// This router has counted tokens, which the parent will include later.
    pub(super) fn credit(&mut self, account: Account, tokens: u64) {
        *self.settled.entry(account).or_default() += tokens;
    }

    /// Tells by how much each total has grown. `pending` is what the parent has not
    /// counted yet of an account.
    pub(super) fn settle(
        &mut self,
        now: Millis,
        horizon_ms: Millis,
        pending: impl Fn(Account) -> u64,
        mut grown: impl FnMut(Account, u64),
    ) {
        if self.inbound.sequence() == 0 {
            return;
        }
        let first = std::mem::take(&mut self.first);
        for (account, value) in self.inbound.values(now, horizon_ms) {
            let value = value + pending(account);
            let settled = self.settled.entry(account).or_default();
            if first {
                *settled = value;
            } else if value > *settled {
                grown(account, value - *settled);
                *settled = value;
            }
        }
    }
}
