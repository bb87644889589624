//! The request queues of all pools.

use std::collections::HashMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use mulberryyoke_model::PoolId;

use super::pool_queue::PoolQueue;

/// Request queues by pool, created on first use.
#[derive(Debug, Default)]
pub(crate) struct PoolQueues {
    queues: ArcSwap<HashMap<PoolId, Arc<PoolQueue>>>,
}

impl PoolQueues {
    /// Returns the queue of a pool, creating it if necessary.
    pub(crate) fn get(&self, pool: PoolId) -> Arc<PoolQueue> {
        if let Some(queue) = self.queues.load().get(&pool) {
            return Arc::clone(queue);
        }
        let new = PoolQueue::new(pool);
        self.queues.rcu(|queues| {
            let mut queues = HashMap::clone(queues);
            queues.entry(pool).or_insert_with(|| Arc::clone(&new));
            queues
        });
        Arc::clone(&self.queues.load()[&pool])
    }

    pub(crate) fn all(&self) -> Vec<Arc<PoolQueue>> {
        self.queues.load().values().cloned().collect()
    }
}
