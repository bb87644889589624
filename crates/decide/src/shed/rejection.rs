//! Rejection of a prompt.

use super::Objective;
use super::budget::Budget;
use crate::engine::Choice;

/// Shortest and longest retry delay: the prefill time of a short prompt and the half-life of
/// customers' recorded usage.
const RETRY_AFTER_MS: (f64, f64) = (100.0, 1_500.0);

/// A rejected prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rejection {
    /// The best server and the expected latency there.
    pub choice: Choice,
    /// Time to first token allowed for this customer, in milliseconds.
    pub allowed_ms: f64,
    /// Delay before the client should retry, in milliseconds: the time by which the best server
    /// exceeds `allowed_ms`, within bounds.
    pub retry_after_ms: f64,
}

impl Rejection {
    pub(super) fn new(choice: Choice, budget: Budget, objective: Objective) -> Self {
        let allowed_ms = budget.allowed_ms(objective);
        let excess_ms = choice.ttft_ms() - allowed_ms;
        Self {
            choice,
            allowed_ms,
            retry_after_ms: excess_ms.clamp(RETRY_AFTER_MS.0, RETRY_AFTER_MS.1),
        }
    }
}
