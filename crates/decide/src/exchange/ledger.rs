//! A router's view of the service given by the fleet.

use std::collections::{BTreeMap, HashMap};

use mulberryyoke_model::{CustomerId, Incarnation, PoolId, Report, Usage};

use super::Cursor;

type Account = (PoolId, CustomerId);
type Counters = HashMap<Account, u64>;

#[derive(Debug, Default)]
struct Origin {
    sequence: u64,
    counters: Counters,
}

impl Origin {
    /// Raises a counter; returns by how much.
    fn raise(&mut self, account: Account, tokens: u64) -> u64 {
        let held = self.counters.entry(account).or_default();
        let grown = tokens.saturating_sub(*held);
        *held += grown;
        grown
    }
}

/// Cumulative service by origin, and the totals over all origins.
#[derive(Debug)]
pub struct Ledger {
    own: Incarnation,
    sidecars: HashMap<Incarnation, Origin>,
    origins: HashMap<Incarnation, Origin>,
    totals: HashMap<Account, (u64, u64)>,
    changes: BTreeMap<u64, Account>,
    version: u64,
}

impl Ledger {
    /// Opens an empty ledger for a router's life.
    #[must_use]
    pub fn open(own: Incarnation) -> Self {
        Self {
            own,
            sidecars: HashMap::new(),
            origins: HashMap::new(),
            totals: HashMap::new(),
            changes: BTreeMap::new(),
            version: 0,
        }
    }

    /// Counts a sidecar's report. Returns the sequence number now counted.
    pub fn collect(&mut self, sidecar: Incarnation, report: &Report) -> u64 {
        let held = self.sidecars.entry(sidecar).or_default();
        held.sequence = held.sequence.max(report.sequence);
        let sequence = held.sequence;
        let mut grown = Vec::new();
        for usage in &report.usage {
            let account = (usage.pool, usage.customer);
            grown.push((account, held.raise(account, usage.tokens)));
        }
        let own = self.origins.entry(self.own).or_default();
        own.sequence += 1;
        for (account, tokens) in &grown {
            *own.counters.entry(*account).or_default() += tokens;
        }
        for (account, tokens) in grown {
            self.raise(account, tokens);
        }
        sequence
    }

    /// Counts what a peer knows of an origin.
    pub fn merge(&mut self, origin: Incarnation, report: &Report) {
        if origin == self.own {
            return;
        }
        let held = self.origins.entry(origin).or_default();
        held.sequence = held.sequence.max(report.sequence);
        let mut grown = Vec::new();
        for usage in &report.usage {
            let account = (usage.pool, usage.customer);
            grown.push((account, held.raise(account, usage.tokens)));
        }
        for (account, tokens) in grown {
            self.raise(account, tokens);
        }
    }

    /// Everything known, by origin.
    #[must_use]
    pub fn reports(&self) -> Vec<(Incarnation, Report)> {
        let report = |(incarnation, origin): (&Incarnation, &Origin)| {
            let usage = origin.counters.iter();
            let usage = usage.map(|(account, tokens)| usage_of(*account, *tokens));
            let report = Report {
                sequence: origin.sequence,
                usage: usage.collect(),
            };
            (*incarnation, report)
        };
        self.origins.iter().map(report).collect()
    }

    /// Fleet totals that changed since the cursor, which is moved on.
    pub fn totals(&self, cursor: &mut Cursor) -> Vec<Usage> {
        let changed = self.changes.range(cursor.0 + 1..);
        let changed = changed.map(|(_, account)| usage_of(*account, self.totals[account].0));
        cursor.0 = self.version;
        changed.collect()
    }

    fn raise(&mut self, account: Account, tokens: u64) {
        if tokens == 0 {
            return;
        }
        self.version += 1;
        let total = self.totals.entry(account).or_default();
        self.changes.remove(&total.1);
        *total = (total.0 + tokens, self.version);
        self.changes.insert(self.version, account);
    }
}

fn usage_of((pool, customer): Account, tokens: u64) -> Usage {
    Usage {
        pool,
        customer,
        tokens,
    }
}
