//! What was sent to a server lately.

use mulberryyoke_model::Millis;

/// Time in which what was sent counts half, in milliseconds: long enough to see
/// each shared part a few times.
const HALF_MS: f64 = 4_000.0;

/// Tokens sent to a server, those of long ago counting less.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DecayedTokens {
    tokens: f64,
    at: Millis,
}

impl DecayedTokens {
    /// Notes that tokens are sent.
    pub fn add(&mut self, tokens: u32, now: Millis) {
        self.tokens = self.tokens(now) + f64::from(tokens);
        self.at = now;
    }

    /// Tokens sent lately.
    #[must_use]
    pub fn tokens(&self, now: Millis) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "some seconds in milliseconds")]
        let elapsed = now.saturating_sub(self.at) as f64;
        self.tokens * (-elapsed / HALF_MS).exp2()
    }
}
