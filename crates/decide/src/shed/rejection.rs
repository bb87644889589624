//! Rejection of a prompt.

use super::Objective;
use super::budget::Budget;
use crate::engine::Choice;
use crate::retry_after;
use crate::share::Usage;

/// A rejected prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rejection {
    /// The best server and the expected latency there.
    pub choice: Choice,
    /// Time to first token allowed for this customer, in milliseconds.
    pub allowed_ms: f64,
    /// Time after which the prompt is expected to be admitted if nothing else changes, in
    /// milliseconds.
    pub admission_ms: f64,
    /// Delay before the client should retry, in milliseconds: the time by which the best server
    /// exceeds what is allowed, within bounds. A customer above its share is told no more: shares
    /// are recomputed all the time, and once its usage has decayed the retry would miss the
    /// objective, which counts from the first attempt.
    pub retry_after_ms: f64,
}

impl Rejection {
    pub(super) fn new(choice: Choice, budget: Budget, objective: Objective, usage: Usage) -> Self {
        let allowed_ms = budget.allowed_ms(objective);
        let excess_ms = budget.excess_ms(&choice, objective);
        let admission_ms = if usage.is_over_share() {
            usage.decay_ms().min(excess_ms)
        } else {
            excess_ms
        };
        Self {
            choice,
            allowed_ms,
            admission_ms,
            retry_after_ms: retry_after::busy_ms(choice.ttft_ms() - allowed_ms),
        }
    }
}
