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
    /// Delay before the client should retry, in milliseconds: for a customer above its share, the
    /// time until its usage has decayed to it; for others, the time until the best server is within
    /// what is allowed; each within bounds, and not so long that the retry misses the objective.
    pub retry_after_ms: f64,
}

impl Rejection {
    pub(super) fn new(choice: Choice, budget: Budget, objective: Objective, usage: Usage) -> Self {
        let excess_ms = budget.excess_ms(&choice, objective);
        let (admission_ms, retry_after_ms) = if usage.is_over_share() {
            let admission_ms = usage.decay_ms().min(excess_ms);
            (admission_ms, retry_after::over_share_ms(usage))
        } else {
            (excess_ms, retry_after::busy_ms(excess_ms))
        };
        let retry_after_ms = retry_after::within_objective_ms(
            retry_after_ms,
            objective.first_token_ms,
            choice.prefill_ms,
        );
        Self {
            choice,
            allowed_ms: budget.allowed_ms(objective),
            admission_ms,
            retry_after_ms,
        }
    }
}
