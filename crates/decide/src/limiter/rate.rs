//! A rate of events, as an exponentially weighted moving average.

use mulberryyoke_model::Millis;

/// Time over which an event's weight falls to a third, in milliseconds.
const MEMORY_MS: f64 = 10_000.0;

/// Times of [`MEMORY_MS`] after which nothing of an event is left.
const FORGOTTEN: f64 = 8.0;

const MS_PER_S: f64 = 1_000.0;

/// A rate of events.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    weight: f64,
    at: Millis,
}

impl Rate {
    /// Counts one event.
    pub fn count(&mut self, now: Millis) {
        self.weight = self.decayed(now) + 1.0;
        self.at = self.at.max(now);
    }

    /// Events per second, lately.
    #[must_use]
    pub fn per_second(&self, now: Millis) -> f64 {
        self.decayed(now) / (MEMORY_MS / MS_PER_S)
    }

    /// Whether nothing was counted for so long that it can be forgotten.
    #[must_use]
    pub fn is_stale(&self, now: Millis) -> bool {
        self.decayed(now) < (-FORGOTTEN).exp()
    }

    fn decayed(&self, now: Millis) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "a short time in milliseconds")]
        let elapsed = now.saturating_sub(self.at) as f64;
        self.weight * (-elapsed / MEMORY_MS).exp()
    }
}
