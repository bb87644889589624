//! Pauses between attempts.

use std::time::{Duration, Instant};

use rand::{Rng, RngExt};

/// Chooses when to try again: the pause doubles after each failure up to a bound,
/// and a random part of it keeps many nodes from trying at one moment.
#[derive(Clone, Debug)]
pub struct Backoff {
    first_ms: u64,
    last_ms: u64,
    failures: u32,
}

impl Backoff {
    /// Pauses of at least half of `first_ms` and at most `last_ms`, in milliseconds.
    #[must_use]
    pub const fn new(first_ms: u64, last_ms: u64) -> Self {
        Self {
            first_ms,
            last_ms,
            failures: 0,
        }
    }

    /// Notes a failure and returns when to try again.
    pub fn next(&mut self, now: Instant, rng: &mut impl Rng) -> Instant {
        let factor = 1_u64.checked_shl(self.failures).unwrap_or(u64::MAX);
        let bound_ms = self.first_ms.saturating_mul(factor).min(self.last_ms);
        self.failures = self.failures.saturating_add(1);
        let pause_ms = rng.random_range(bound_ms / 2..=bound_ms);
        now + Duration::from_millis(pause_ms)
    }

    /// Notes a success: the next pause is short again.
    pub const fn reset(&mut self) {
        self.failures = 0;
    }
}
