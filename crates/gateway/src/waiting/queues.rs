//! Queues of all pools of a node.

use std::collections::HashMap;

use mulberryyoke_decide::waiting::{Limits, Queue};
use mulberryyoke_model::PoolId;
use tokio::time::Instant;

use super::waiter::Waiter;

/// Limits of all queues of a node. The smallest nodes have 120 MB of memory.
const LIMITS: Limits = Limits {
    requests: 128,
    bytes: 4 << 20,
};

/// Queues of all pools of a node.
#[derive(Debug, Default)]
pub(super) struct Queues {
    pub(super) by_pool: HashMap<PoolId, Queue<Waiter>>,
    /// Earliest time of the next pass over the queues.
    pub(super) next_pass: Option<Instant>,
}

impl Queues {
    /// Number of waiting requests.
    pub(super) fn len(&self) -> usize {
        self.by_pool.values().map(Queue::len).sum()
    }

    /// Number of waiting requests that need a version.
    pub(super) fn bound_to_version(&self) -> usize {
        self.by_pool.values().map(Queue::bound_to_version).sum()
    }

    /// Limits of a pool's queue: what the other queues leave of the node's limits.
    pub(super) fn limits(&self, pool: PoolId) -> Limits {
        let others = self.by_pool.iter().filter(|(other, _)| **other != pool);
        others.fold(LIMITS, |limits, (_, queue)| Limits {
            requests: limits.requests.saturating_sub(queue.len()),
            bytes: limits.bytes.saturating_sub(queue.bytes()),
        })
    }
}
