//! What one gateway sent to a cold server within the last second.

use std::collections::VecDeque;

use mulberryyoke_model::Millis;

/// Time in which requests are counted, in milliseconds: the second of the bound, and a tenth for
/// requests that are on their way for different times.
const SPAN_MS: u64 = 1_100;

/// What one gateway sent to a cold server within the last second.
#[derive(Clone, Debug, Default)]
pub struct Window {
    sent: VecDeque<Millis>,
}

impl Window {
    /// Whether one more request may be sent of `share` a second.
    #[must_use]
    pub fn has_capacity(&self, share: u32, now: Millis) -> bool {
        let recent = self.sent.iter().rev();
        let recent = recent.take_while(|at| now.saturating_sub(**at) < SPAN_MS);
        recent.count() < share as usize
    }

    /// Counts a request; `false` if none may be sent of `share` a second.
    pub fn try_acquire(&mut self, share: u32, now: Millis) -> bool {
        if !self.has_capacity(share, now) {
            return false;
        }
        self.sent.retain(|at| now.saturating_sub(*at) < SPAN_MS);
        self.sent.push_back(now);
        true
    }
}
