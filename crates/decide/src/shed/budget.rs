//! Latency budget of a customer's prompts.

use super::Objective;
use crate::engine::Choice;
use crate::share::Usage;

/// Fraction of the objective that the expected time to first token may take for a customer below
/// its fair share. The rest covers estimation errors.
const UNDER_SHARE_FRACTION: f64 = 0.9;

/// As [`UNDER_SHARE_FRACTION`], for a customer at its fair share.
const FAIR_SHARE_FRACTION: f64 = 0.5;

/// Fraction of its fair share below which a customer counts as under-served.
const UNDER_SHARE: f64 = 0.8;

/// Exponent by which the budget falls for a customer above its fair share.
const OVER_SHARE_EXPONENT: i32 = 2;

/// Multiple of the fair share above which the budget does not fall further.
const MAX_OVER_SHARE: f64 = 2.5;

/// Multiple of its fair share of the current throughput above which a customer's prompts are
/// rejected while the servers are contended.
const MAX_SHARE_OF_THROUGHPUT: f64 = 1.2;

/// Mean waiting time up to which the servers have capacity for everyone: about half an engine step
/// during prefill.
const CONTENTION_WAIT_MS: f64 = 30.0;

/// Fraction of the objective that a prompt may wait regardless of its prefill time.
const WAIT_FRACTION: f64 = 0.15;

/// Latency budget as a multiple of that of a customer at its fair share; 0 rejects all prompts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Budget(f64);

impl Budget {
    /// Budget of a customer at the current mean waiting time of the servers.
    pub(super) fn new(usage: Usage, mean_wait_ms: f64) -> Self {
        if usage.of_portion < UNDER_SHARE {
            return Self(UNDER_SHARE_FRACTION / FAIR_SHARE_FRACTION);
        }
        if usage.of_given > MAX_SHARE_OF_THROUGHPUT && mean_wait_ms > CONTENTION_WAIT_MS {
            return Self(0.0);
        }
        let over = usage.of_portion.clamp(1.0, MAX_OVER_SHARE);
        Self(over.powi(-OVER_SHARE_EXPONENT))
    }

    /// Longest acceptable time to first token, in milliseconds.
    pub(super) fn allowed_ms(self, objective: Objective) -> f64 {
        objective.first_token_ms * FAIR_SHARE_FRACTION * self.0
    }

    /// Whether a prompt with this expected latency is within the budget.
    pub(super) fn allows(self, choice: &Choice, objective: Objective) -> bool {
        self.excess_ms(choice, objective) <= 0.0
    }

    /// Time by which a server has to become faster for a prompt to be within the budget, in
    /// milliseconds; not positive if it is, infinite if no speed suffices.
    pub(super) fn excess_ms(self, choice: &Choice, objective: Objective) -> f64 {
        if self.0 <= 0.0 {
            return f64::INFINITY;
        }
        let max_wait_ms = objective.first_token_ms * WAIT_FRACTION * self.0.min(1.0);
        let excess_ms = choice.ttft_ms() - self.allowed_ms(objective);
        excess_ms.min(choice.wait_ms - max_wait_ms)
    }
}
