//! Prompts that wait in a gateway because they cannot be admitted yet.
//!
//! A prompt waits only if its admission is expected within a fraction of its latency objective. A
//! caller that is refused early has time to retry at another gateway.

mod entry;
mod limits;
mod obstacle;
mod queue;
mod skipped;

use mulberryyoke_model::{Millis, VersionId};
use smallvec::SmallVec;

pub use self::entry::Entry;
pub use self::limits::Limits;
pub use self::obstacle::Obstacle;
pub use self::queue::Queue;
use crate::shed::{Objective, Rejection};

/// Versions whose servers others wait for.
pub type Reserved = SmallVec<[VersionId; 2]>;

/// Longest wait, as a fraction of the latency objective. Callers that are refused after it have
/// most of the objective left for a retry.
const MAX_WAIT_FRACTION: f64 = 0.125;

/// Returns until when a prompt may wait that was rejected `elapsed_ms` after it was received, or
/// `None` if it is not expected to be admitted in time. `deadline` is when its caller gives up.
///
/// Prompts of a customer that may get nothing more at present do not wait: they would take every
/// moment of room from prompts of others that are about to arrive. Neither do prompts that no server
/// has memory for. Both have an allowed time of 0.
#[must_use]
pub fn until(
    rejection: &Rejection,
    objective: Objective,
    elapsed_ms: f64,
    deadline: Millis,
    now: Millis,
) -> Option<Millis> {
    let longest_ms = objective.first_token_ms * MAX_WAIT_FRACTION;
    if rejection.allowed_ms <= 0.0 {
        return None;
    }
    if rejection.admission_ms > longest_ms || !is_in_time(rejection, objective, elapsed_ms) {
        return None;
    }
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a fraction of a latency objective"
    )]
    let longest_ms = longest_ms as Millis;
    let until = now.saturating_add(longest_ms).min(deadline);
    (until > now).then_some(until)
}

/// Returns whether a prompt that was rejected `elapsed_ms` after it was received would still meet
/// its objective if it were admitted as soon as possible. Waiting in the gateway takes no longer
/// than waiting at the server, since the server's queue shortens meanwhile.
#[must_use]
pub fn is_in_time(rejection: &Rejection, objective: Objective, elapsed_ms: f64) -> bool {
    elapsed_ms + rejection.choice.ttft_ms() <= objective.first_token_ms
}
