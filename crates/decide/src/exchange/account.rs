//! Accounts, by which tokens are counted.

use std::collections::BTreeMap;

use mulberryyoke_model::{CustomerId, Flow, PoolCounters, PoolId, Usage};

/// A customer in a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Account {
    /// The pool that serves the requests.
    pub pool: PoolId,
    /// The customer that sends the requests.
    pub customer: CustomerId,
}

impl Account {
    pub(super) fn of(usage: &Usage) -> Self {
        Self {
            pool: usage.pool,
            customer: usage.customer,
        }
    }

    pub(super) fn usage(self, tokens: u64) -> Usage {
        Usage {
            pool: self.pool,
            customer: self.customer,
            tokens,
        }
    }

    pub(super) fn flow(self, tokens: u64, rate: u32) -> (PoolId, Flow) {
        let flow = Flow {
            customer: self.customer,
            tokens,
            rate,
        };
        (self.pool, flow)
    }
}

/// Groups flows by pool.
pub(super) fn group(flows: impl IntoIterator<Item = (PoolId, Flow)>) -> Vec<PoolCounters> {
    let mut pools: BTreeMap<PoolId, Vec<Flow>> = BTreeMap::new();
    for (pool, flow) in flows {
        pools.entry(pool).or_default().push(flow);
    }
    let pools = pools.into_iter();
    pools
        .map(|(pool, flows)| PoolCounters { pool, flows })
        .collect()
}

/// Iterates over the flows of all pools with their accounts.
pub(super) fn flatten(pools: &[PoolCounters]) -> impl Iterator<Item = (Account, &Flow)> {
    pools.iter().flat_map(|counters| {
        counters.flows.iter().map(|flow| {
            let account = Account {
                pool: counters.pool,
                customer: flow.customer,
            };
            (account, flow)
        })
    })
}
