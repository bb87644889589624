//! Sliding-window rate limiter for requests from one gateway to a cold server.

use std::collections::VecDeque;

use mulberryyoke_model::Millis;

/// Length of the window, in milliseconds: one second, plus a tenth for varying network delay.
const WINDOW_MS: u64 = 1_100;

/// Sliding-window rate limiter for requests from one gateway to a cold server.
#[derive(Clone, Debug, Default)]
pub struct Window {
    sent: VecDeque<Millis>,
}

impl Window {
    /// Returns whether another request may be sent under a quota of `share` a second.
    #[must_use]
    pub fn has_capacity(&self, share: u32, now: Millis) -> bool {
        let recent = self.sent.iter().rev();
        let recent = recent.take_while(|at| now.saturating_sub(**at) < WINDOW_MS);
        recent.count() < share as usize
    }

    /// Counts a request; returns `false` if the quota of `share` a second is exhausted.
    pub fn try_acquire(&mut self, share: u32, now: Millis) -> bool {
        if !self.has_capacity(share, now) {
            return false;
        }
        self.sent.retain(|at| now.saturating_sub(*at) < WINDOW_MS);
        self.sent.push_back(now);
        true
    }
}
