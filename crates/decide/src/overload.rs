//! Whether a node has more to do than its processor can, and for how long callers go elsewhere.
//!
//! The load that it answers: a zone's flood reaches its nodes by a hash of the callers, so that
//! the smallest get as much as the largest. A node that takes callers again as soon as it has
//! caught up is overloaded again within seconds, as its callers are the same: 27 changes in 55 s
//! at the two smallest of six. So each time that it happens again soon, callers stay away
//! twice as long.

use mulberryyoke_model::Millis;

/// Lateness of tasks from which callers are sent elsewhere, in milliseconds: half of
/// the shortest objective of a plain service, and before connections go unanswered.
const STRAINED_MS: u64 = 80;

/// Lateness of tasks below which a node has caught up, in milliseconds.
const EASED_MS: u64 = 20;

/// Weight of a measurement, as its divisor.
const WEIGHT: u64 = 4;

/// First and longest time for which callers stay away, in milliseconds: two questions for
/// readiness, a second apart, are answered before they go, and two before they come back.
/// Benefit earned less what it cost, mean of eight days of a fleet of unequal nodes: 0.587
/// without, 0.592 with 2.5 s and 0.603 with 5 s at first.
const AWAY_MS: (u64, u64) = (5_000, 20_000);

/// Time after callers were back in which an overload is taken to be the same load still, in
/// milliseconds.
const AGAIN_MS: u64 = 8_000;

/// How late a node is with its tasks, and until when callers go elsewhere.
#[derive(Clone, Copy, Debug, Default)]
pub struct Overload {
    late_ms: u64,
    is_strained: bool,
    since: Millis,
    until: Millis,
    away_ms: u64,
}

impl Overload {
    /// Notes by how much a task was late; `true` if the node is overloaded or has caught up
    /// from now on.
    pub fn record_delay(&mut self, ms: u64, now: Millis) -> bool {
        self.late_ms = (self.late_ms * (WEIGHT - 1) + ms) / WEIGHT;
        let was_strained = self.is_strained;
        let bound_ms = if was_strained { EASED_MS } else { STRAINED_MS };
        self.is_strained = self.late_ms > bound_ms;
        if self.is_strained && !was_strained {
            self.begin(now);
        }
        was_strained != self.is_strained
    }

    /// By how much tasks are late on average, in milliseconds.
    #[must_use]
    pub const fn mean_delay_ms(&self) -> u64 {
        self.late_ms
    }

    /// Whether it has more to do than its processor can.
    #[must_use]
    pub const fn is_overloaded(&self) -> bool {
        self.is_strained
    }

    /// Since when callers go elsewhere, if they do.
    #[must_use]
    pub const fn since(&self) -> Millis {
        self.since
    }

    /// Until when callers go elsewhere: for ever while it has not caught up.
    #[must_use]
    pub const fn until(&self) -> Millis {
        if self.is_strained {
            Millis::MAX
        } else {
            self.until
        }
    }

    fn begin(&mut self, now: Millis) {
        let is_again = self.away_ms > 0 && now < self.until.saturating_add(AGAIN_MS);
        self.away_ms = if is_again {
            (2 * self.away_ms).min(AWAY_MS.1)
        } else {
            AWAY_MS.0
        };
        if now >= self.until {
            self.since = now;
        }
        self.until = now.saturating_add(self.away_ms);
    }
}
