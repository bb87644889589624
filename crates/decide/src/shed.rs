//! Load shedding: selects a server for a prompt or rejects it with a retry delay.
//!
//! A prompt that cannot meet its latency objective is rejected at once. The accepted latency
//! shrinks for customers above their fair share; prompts of customers below it go to any server
//! that can still meet the objective.

mod budget;
mod objective;
mod rejection;

use mulberryyoke_model::Millis;

use self::budget::Budget;
pub use self::objective::Objective;
pub use self::rejection::Rejection;
use crate::engine::{Candidate, Choice, Prompt, choose, choose_urgent};
use crate::share::Usage;

/// Fraction of its fair share below which a customer's prompt may be sent to a server that has to
/// recompute its shared parts. Otherwise large prompts would be rejected at the one server that has
/// the parts cached while others are idle.
const RECOMPUTE_SHARE: f64 = 1.0;

/// Whether all cached parts that a server lacks are fetched: this costs the servers no prefill.
const fn is_copied(choice: &Choice) -> bool {
    choice.fetched > 0 && choice.recomputed == 0
}

/// Chooses a server for a prompt of a customer with this usage, or rejects the prompt. Without
/// usage data it is always accepted: a request that may already have run must not be rejected.
/// A prompt that no server has memory for is rejected whatever the usage.
/// `None` without candidates.
pub fn admit<'a>(
    prompt: &Prompt,
    candidates: impl Iterator<Item = Candidate<'a>> + Clone,
    objective: Objective,
    usage: Option<Usage>,
    now: Millis,
) -> Option<Result<Choice, Rejection>> {
    let choice = choose(prompt, candidates.clone(), objective.max_pause_ms, now)?;
    let Some(usage) = usage else {
        return Some(Ok(choice));
    };
    if choice.room_ms > 0.0 {
        return Some(Err(Rejection::without_room(choice)));
    }
    let budget = Budget::new(usage, choice.mean_wait_ms);
    if budget.allows(&choice, objective) {
        return Some(Ok(choice));
    }
    let urgent = choose_urgent(prompt, candidates, objective.max_pause_ms, now)
        .filter(|urgent| budget.allows(urgent, objective))
        .filter(|urgent| usage.of_portion < RECOMPUTE_SHARE || is_copied(urgent));
    if let Some(urgent) = urgent {
        return Some(Ok(urgent));
    }
    Some(Err(Rejection::new(choice, budget, objective, usage)))
}
