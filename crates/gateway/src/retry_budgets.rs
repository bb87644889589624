//! Retry budgets of this gateway.

use std::collections::HashMap;

use mulberryyoke_decide::retry::Budget;
use mulberryyoke_model::{PoolId, saturating_u32};
use parking_lot::Mutex;

/// Fraction of the configured retry ratio that one gateway uses. The ratio must hold in every
/// window, and requests are counted late.
const RATIO_FRACTION: f64 = 0.8;

/// Fraction of the configured slack that all gateways together may accumulate.
const SLACK_FRACTION: f64 = 0.5;

/// Retry budget of each pool, so that failures of one pool don't exhaust the retries of others.
#[derive(Debug, Default)]
pub(crate) struct RetryBudgets {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    percent: u32,
    /// In hundredths of a retry.
    capacity: u64,
    by_pool: HashMap<PoolId, Budget>,
}

impl Inner {
    fn get_or_new(&mut self, pool: PoolId) -> &mut Budget {
        let (percent, capacity) = (self.percent, self.capacity);
        self.by_pool.entry(pool).or_insert_with(|| {
            let mut budget = Budget::new(percent);
            budget.set_capacity(capacity);
            budget
        })
    }
}

impl RetryBudgets {
    /// Sets the limits of the fleet: `ratio` retries per request plus `slack`, which is divided
    /// among `gateways`.
    pub(crate) fn set_limits(&self, ratio: f64, slack: f64, gateways: usize) {
        let percent = saturating_u32(ratio * RATIO_FRACTION * 100.0);
        let gateways = u32::try_from(gateways).unwrap_or(u32::MAX).max(1);
        let capacity = u64::from(saturating_u32(
            slack * SLACK_FRACTION * 100.0 / f64::from(gateways),
        ));
        let mut inner = self.inner.lock();
        if inner.percent != percent {
            inner.by_pool.clear();
        }
        if inner.capacity != capacity {
            for budget in inner.by_pool.values_mut() {
                budget.set_capacity(capacity);
            }
        }
        inner.percent = percent;
        inner.capacity = capacity;
    }

    /// Counts a first attempt.
    pub(crate) fn deposit(&self, pool: PoolId) {
        self.inner.lock().get_or_new(pool).deposit();
    }

    /// Withdraws one retry; returns `false` if the budget is exhausted.
    pub(crate) fn try_withdraw(&self, pool: PoolId) -> bool {
        self.inner.lock().get_or_new(pool).try_withdraw()
    }
}
