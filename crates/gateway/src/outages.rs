//! Since when no server of a pool can be used.

use std::collections::HashMap;

use mulberryyoke_model::PoolId;
use parking_lot::Mutex;

/// Pools of which no server can be used, each with the time of the first request refused since, in
/// milliseconds of [`crate::clock::now_ms`].
#[derive(Debug, Default)]
pub(crate) struct Outages(Mutex<HashMap<PoolId, u64>>);

impl Outages {
    /// Records that no server of a pool can be used, and returns since when.
    pub(crate) fn start(&self, pool: PoolId, now_ms: u64) -> u64 {
        *self.0.lock().entry(pool).or_insert(now_ms)
    }

    /// Ends the outages of the pools for which `has_ended` holds.
    pub(crate) fn end_if(&self, has_ended: impl Fn(PoolId) -> bool) {
        self.0.lock().retain(|&pool, _| !has_ended(pool));
    }
}
