//! The retries that this node may make, by pool.

use std::collections::HashMap;

use mulberryyoke_decide::retry::Budget;
use mulberryyoke_model::{PoolId, saturating_u32};
use parking_lot::Mutex;

/// Part of the fleet's ratio of retries that one node allows itself: the ratio
/// holds in each window, and requests are counted late.
const RATIO_PART: f64 = 0.8;

/// Part of the fleet's slack that all nodes together may have saved up.
const SLACK_PART: f64 = 0.5;

/// The retries that this node may make, by pool: those of one pool do not count
/// for another.
#[derive(Debug, Default)]
pub(crate) struct RetryBudgets {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    percent: u32,
    full: u64,
    by_pool: HashMap<PoolId, Budget>,
}

impl Inner {
    fn of(&mut self, pool: PoolId) -> &mut Budget {
        let (percent, full) = (self.percent, self.full);
        self.by_pool.entry(pool).or_insert_with(|| {
            let mut budget = Budget::new(percent);
            budget.set_capacity(full);
            budget
        })
    }
}

impl RetryBudgets {
    /// Bounds the retries: the fleet may make `ratio` for each request and `slack`
    /// beyond, and this node is one of `nodes`.
    pub(crate) fn set_limits(&self, ratio: f64, slack: f64, nodes: usize) {
        let percent = saturating_u32(ratio * RATIO_PART * 100.0);
        let nodes = u32::try_from(nodes).unwrap_or(u32::MAX).max(1);
        let full = u64::from(saturating_u32(
            slack * SLACK_PART * 100.0 / f64::from(nodes),
        ));
        let mut inner = self.inner.lock();
        if inner.percent != percent {
            inner.by_pool.clear();
        }
        if inner.full != full {
            for budget in inner.by_pool.values_mut() {
                budget.set_capacity(full);
            }
        }
        inner.percent = percent;
        inner.full = full;
    }

    /// Counts a first attempt.
    pub(crate) fn deposit(&self, pool: PoolId) {
        self.inner.lock().of(pool).deposit();
    }

    /// Spends a retry; `false` when none is left.
    pub(crate) fn try_withdraw(&self, pool: PoolId) -> bool {
        self.inner.lock().of(pool).try_withdraw()
    }
}
