//! How fast a server reads prompts.

/// Tokens a millisecond of a server that was not yet observed.
const FIRST: f64 = 60.0;

/// Slowest rate that is believed, in tokens a millisecond.
const SLOWEST: f64 = 6.0;

/// Fastest rate that is believed, in tokens a millisecond.
const FASTEST: f64 = 100.0;

/// Weight of a new observation.
const WEIGHT: f64 = 0.1;

/// Fewest tokens from which a rate is read; with fewer, the time of the way counts most.
const FEWEST_TOKENS: u32 = 1_500;

/// The rate at which a server reads prompts, learnt from the time to first tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    per_ms: f64,
}

impl Default for Rate {
    fn default() -> Self {
        Self { per_ms: FIRST }
    }
}

impl Rate {
    /// Time to read a number of tokens, in milliseconds.
    #[must_use]
    pub fn ms(self, tokens: u32) -> f64 {
        f64::from(tokens) / self.per_ms
    }

    /// Tokens a millisecond.
    #[must_use]
    pub const fn per_ms(self) -> f64 {
        self.per_ms
    }

    /// Notes that `tokens` were read within `ms` milliseconds.
    pub fn observe(&mut self, tokens: u32, ms: f64) {
        let ms = ms - super::FIRST_TOKEN_MS;
        if tokens < FEWEST_TOKENS || ms <= 0.0 {
            return;
        }
        let seen = (f64::from(tokens) / ms).clamp(SLOWEST, FASTEST);
        self.per_ms += (seen - self.per_ms) * WEIGHT;
    }
}
