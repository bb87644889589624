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
    /// Time to first token allowed for this customer, in milliseconds; 0 if no server has memory for
    /// the prompt.
    pub allowed_ms: f64,
    /// Time after which the prompt is expected to be admitted if nothing else changes, in
    /// milliseconds. Infinite if it is larger than the memory of any server.
    pub admission_ms: f64,
    /// Delay before the client should retry, in milliseconds: if no server has memory for the prompt,
    /// the time until one has, infinite if none ever will; else the time by which the best server
    /// exceeds what is allowed, within bounds. A customer above its share is told no more: shares
    /// are recomputed all the time, and once its usage has decayed the retry would miss the
    /// objective, which counts from the first attempt.
    pub retry_after_ms: f64,
}

impl Rejection {
    /// Rejects a prompt that no server has memory for; `choice` is the first that will.
    pub(super) fn without_room(choice: Choice) -> Self {
        Self {
            choice,
            allowed_ms: 0.0,
            admission_ms: choice.room_ms,
            retry_after_ms: retry_after::room_ms(choice.room_ms),
        }
    }

    /// Whether no server has memory for the prompt.
    #[must_use]
    pub fn lacks_room(&self) -> bool {
        self.choice.room_ms > 0.0
    }

    /// Whether the prompt is larger than the whole memory of every server.
    #[must_use]
    pub const fn is_too_large(&self) -> bool {
        self.choice.room_ms.is_infinite()
    }

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
