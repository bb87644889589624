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
    /// Time after which the prompt is expected to be admitted, in milliseconds: for a customer above
    /// its share, when its usage has decayed to it; for others, when the best server is within what
    /// is allowed.
    pub retry_after_ms: f64,
}

impl Rejection {
    pub(super) fn new(choice: Choice, budget: Budget, objective: Objective, usage: Usage) -> Self {
        Self {
            choice,
            allowed_ms: budget.allowed_ms(objective),
            retry_after_ms: if usage.of_portion > 1.0 {
                retry_after::over_share_ms(usage)
            } else {
                retry_after::busy_ms(budget.excess_ms(&choice, objective))
            },
        }
    }
}
