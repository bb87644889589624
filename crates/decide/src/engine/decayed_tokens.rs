//! Exponentially decayed token count.

use mulberryyoke_model::Millis;

/// Half-life, long enough to see each shared part several times.
const HALF_LIFE_MS: f64 = 4_000.0;

/// Tokens sent to a server, decayed exponentially over time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DecayedTokens {
    tokens: f64,
    updated_at: Millis,
}

impl DecayedTokens {
    /// Adds tokens sent at `now`.
    pub fn add(&mut self, tokens: u32, now: Millis) {
        self.tokens = self.tokens(now) + f64::from(tokens);
        self.updated_at = now;
    }

    /// Decayed number of tokens at `now`.
    #[must_use]
    pub fn tokens(&self, now: Millis) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "some seconds in milliseconds")]
        let elapsed = now.saturating_sub(self.updated_at) as f64;
        self.tokens * (-elapsed / HALF_LIFE_MS).exp2()
    }
}
