//! Whether a prompt is sent to a server now, to which, or when its caller should come back.
//!
//! The load that it answers: a few customers ask many times their portion while servers are
//! busy with prompts of very different lengths. What cannot be on time is refused at once,
//! those who have more than their portion first; one who has less is sent wherever it can
//! still be on time.

mod aim;
mod held;
mod leeway;

use mulberryyoke_model::Millis;

pub use self::aim::Objective;
pub use self::held::Rejection;
use self::leeway::Leeway;
use crate::engine::{Candidate, Choice, Prompt, choose, choose_urgent};
use crate::share::Usage;

/// Part of its portion up to which a customer's prompt is sent where its shared parts are
/// read again, rather than refused. Large prompts of small customers were refused at the one
/// server that kept their parts while others were idle. Benefit earned less what it cost, mean
/// of twenty days before nine servers: 0.665 before and 0.693 after; of what the worst tenth of
/// customers was owed 0.73 and 0.80 (with the part of the objective for those behind raised from
/// 0.7 to 0.9, which alone gives 0.01).
const SOON_PART: f64 = 1.0;

/// Chooses a server for a prompt of a customer with this standing, or says when its caller
/// should come back. Without a standing the prompt is sent in any case: what may already
/// have run is not refused. `None` without candidates.
pub fn admit<'a>(
    prompt: &Prompt,
    candidates: impl Iterator<Item = Candidate<'a>> + Clone,
    aim: Objective,
    standing: Option<Usage>,
    now: Millis,
) -> Option<Result<Choice, Rejection>> {
    let choice = choose(prompt, candidates.clone(), aim.max_pause_ms, now)?;
    let Some(standing) = standing else {
        return Some(Ok(choice));
    };
    let leeway = Leeway::of(standing, choice.mean_wait_ms);
    if leeway.admits(&choice, aim) {
        return Some(Ok(choice));
    }
    if standing.of_portion < SOON_PART {
        let soon = choose_urgent(prompt, candidates, aim.max_pause_ms, now);
        let soon = soon.filter(|soon| leeway.admits(soon, aim));
        if let Some(soon) = soon {
            return Some(Ok(soon));
        }
    }
    Some(Err(Rejection::of(choice, leeway, aim)))
}
