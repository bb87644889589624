//! Why a prompt is sent to no server.

use super::Objective;
use super::leeway::Leeway;
use crate::engine::Choice;

/// Least and most time after which a refused caller is asked to come back, in milliseconds:
/// a short prompt is read within the one, and what customers were given has faded by half
/// within the other.
const RETRY_MS: (f64, f64) = (100.0, 1_500.0);

/// Why a prompt is sent to no server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rejection {
    /// The best server and what the prompt would meet there.
    pub choice: Choice,
    /// Time that its first event may take, in milliseconds.
    pub allowed_ms: f64,
    /// When the caller should come back: as soon as the best server has read what is too
    /// much for now, in milliseconds.
    pub retry_after_ms: f64,
}

impl Rejection {
    pub(super) fn of(choice: Choice, leeway: Leeway, aim: Objective) -> Self {
        let allowed_ms = leeway.allowed_ms(aim);
        let beyond = choice.ttft_ms() - allowed_ms;
        Self {
            choice,
            allowed_ms,
            retry_after_ms: beyond.clamp(RETRY_MS.0, RETRY_MS.1),
        }
    }
}
