//! How long a customer's prompts may take to be begun.

use super::Objective;
use crate::engine::Choice;
use crate::share::Standing;

/// Part of a stream's objective that the first event may be expected to take, for
/// a customer that has less than its portion: what is expected is off by a tenth.
const BEHIND_PART: f64 = 0.9;

/// As [`BEHIND_PART`], for a customer that has its portion.
const PORTION_PART: f64 = 0.5;

/// Part of its portion below which a customer is behind.
const BEHIND: f64 = 0.8;

/// How fast the bound falls for a customer that has more than its portion, and
/// the multiple of the portion beyond which it falls no more.
const OVER_POWER: i32 = 2;
const OVER_MOST: f64 = 2.5;

/// Multiple of its portion of all that is given beyond which a customer is given
/// nothing until those that have less were served.
const EVEN: f64 = 1.2;

/// Time that prompts wait at the servers on average below which there is capacity
/// for all, in milliseconds: about half a step of an engine that reads.
const SCARCE_MS: f64 = 30.0;

/// Time that a prompt may wait however long it takes to be read, as a part of the objective.
const WAIT_PART: f64 = 0.15;

/// How long a customer's prompts may take to be begun, beside those of one that has its
/// portion; 0 when none may be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Leeway(f64);

impl Leeway {
    /// That of a customer while prompts wait so long at the servers on average.
    pub(super) fn of(standing: Standing, mean_wait_ms: f64) -> Self {
        if standing.of_portion < BEHIND {
            return Self(BEHIND_PART / PORTION_PART);
        }
        if standing.of_given > EVEN && mean_wait_ms > SCARCE_MS {
            return Self(0.0);
        }
        let over = standing.of_portion.clamp(1.0, OVER_MOST);
        Self(over.powi(-OVER_POWER))
    }

    /// Time that the first event may take, in milliseconds.
    pub(super) fn allowed_ms(self, aim: Objective) -> f64 {
        aim.first_token_ms * PORTION_PART * self.0
    }

    /// Whether a prompt is sent that would meet this.
    pub(super) fn admits(self, choice: &Choice, aim: Objective) -> bool {
        let wait_ms = aim.first_token_ms * WAIT_PART * self.0.min(1.0);
        let is_soon = choice.ttft_ms() <= self.allowed_ms(aim) || choice.wait_ms <= wait_ms;
        self.0 > 0.0 && is_soon
    }
}
