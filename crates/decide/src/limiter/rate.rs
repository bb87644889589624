//! Event rate as an exponentially weighted moving average.

use mulberryyoke_model::Millis;

/// Time constant of the exponential decay, in milliseconds.
const TIME_CONSTANT_MS: f64 = 10_000.0;

/// Number of time constants after which an event is negligible.
const STALE_TIME_CONSTANTS: f64 = 8.0;

const MS_PER_S: f64 = 1_000.0;

/// An event rate.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    weight: f64,
    updated_at: Millis,
}

impl Rate {
    /// Records one event.
    pub fn record(&mut self, now: Millis) {
        self.weight = self.decayed(now) + 1.0;
        self.updated_at = self.updated_at.max(now);
    }

    /// Recent events per second.
    #[must_use]
    pub fn per_second(&self, now: Millis) -> f64 {
        self.decayed(now) / (TIME_CONSTANT_MS / MS_PER_S)
    }

    /// Whether all recorded events have decayed to a negligible weight.
    #[must_use]
    pub fn is_stale(&self, now: Millis) -> bool {
        self.decayed(now) < (-STALE_TIME_CONSTANTS).exp()
    }

    fn decayed(&self, now: Millis) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "a short time in milliseconds")]
        let elapsed = now.saturating_sub(self.updated_at) as f64;
        self.weight * (-elapsed / TIME_CONSTANT_MS).exp()
    }
}
