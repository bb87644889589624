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

/// Chooses a server for a prompt of a customer with this usage, or rejects the prompt. Without
/// usage data it is always accepted: a request that may already have run must not be rejected.
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
    let budget = Budget::new(usage, choice.mean_wait_ms);
    if budget.allows(&choice, objective) {
        return Some(Ok(choice));
    }
    if usage.of_portion < RECOMPUTE_SHARE {
        let urgent = choose_urgent(prompt, candidates, objective.max_pause_ms, now);
        let urgent = urgent.filter(|urgent| budget.allows(urgent, objective));
        if let Some(urgent) = urgent {
            return Some(Ok(urgent));
        }
    }
    Some(Err(Rejection::new(choice, budget, objective, usage)))
}
