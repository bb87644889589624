//! Rejection of a prompt.

use super::Objective;
use super::budget::Budget;
use crate::engine::Choice;

/// Shortest and longest retry delay: the prefill time of a short prompt and the half-life of
/// customers' recorded usage.
const RETRY_AFTER_MS: (f64, f64) = (100.0, 1_500.0);

/// Longest retry delay if no server has memory for a prompt, in milliseconds: the duration of a long
/// stream.
const MAX_ROOM_MS: f64 = 10_000.0;

/// A rejected prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rejection {
    /// The best server and the expected latency there.
    pub choice: Choice,
    /// Time to first token allowed for this customer, in milliseconds; 0 if no server has memory for
    /// the prompt.
    pub allowed_ms: f64,
    /// Delay before the client should retry, in milliseconds: the time by which the best server
    /// exceeds `allowed_ms`, or until a server has memory for the prompt, within bounds. Infinite if
    /// none ever will.
    pub retry_after_ms: f64,
}

impl Rejection {
    /// Rejects a prompt that no server has memory for; `choice` is the first that will.
    pub(super) fn without_room(choice: Choice) -> Self {
        let retry_after_ms = if choice.room_ms.is_finite() {
            choice.room_ms.clamp(RETRY_AFTER_MS.0, MAX_ROOM_MS)
        } else {
            choice.room_ms
        };
        Self {
            choice,
            allowed_ms: 0.0,
            retry_after_ms,
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
