//! Exponential backoff.

use std::time::{Duration, Instant};

use rand::{Rng, RngExt};

/// Exponential backoff with jitter, so that nodes do not retry at the same moment.
#[derive(Clone, Debug)]
pub struct Backoff {
    initial_ms: u64,
    max_ms: u64,
    failures: u32,
}

impl Backoff {
    /// Creates a backoff whose upper bound starts at `initial_ms` and doubles up to `max_ms`.
    /// Each delay is at least half of the bound.
    #[must_use]
    pub const fn new(initial_ms: u64, max_ms: u64) -> Self {
        Self {
            initial_ms,
            max_ms,
            failures: 0,
        }
    }

    /// Records a failure and returns when to retry.
    pub fn next(&mut self, now: Instant, rng: &mut impl Rng) -> Instant {
        let factor = 1_u64.checked_shl(self.failures).unwrap_or(u64::MAX);
        let bound_ms = self.initial_ms.saturating_mul(factor).min(self.max_ms);
        self.failures = self.failures.saturating_add(1);
        let delay_ms = rng.random_range(bound_ms / 2..=bound_ms);
        now + Duration::from_millis(delay_ms)
    }

    /// Records a success, which resets the delay.
    pub const fn reset(&mut self) {
        self.failures = 0;
    }
}
