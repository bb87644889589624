//! Speed of one server relative to its pool.

use super::Latency;

/// Smoothing factor of a server's relative speed.
const SMOOTHING: f64 = 0.1;

/// Lowest and highest relative speed of a server.
const BOUNDS: (f64, f64) = (0.3, 2.0);

/// Smallest prefill that yields a sample; shorter ones are dominated by network latency.
const MIN_SAMPLE_TOKENS: u32 = 500;

/// Prefill speed of one server relative to its pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RelativeSpeed(f64);

impl Default for RelativeSpeed {
    fn default() -> Self {
        Self(1.0)
    }
}

impl RelativeSpeed {
    /// Its speed as a multiple of the pool average.
    #[must_use]
    pub const fn ratio(self) -> f64 {
        self.0
    }

    /// Records that the server took `ms` to the first token with `tokens` to prefill.
    pub fn record_first_token(&mut self, tokens: u32, ms: f64, pool: Latency) {
        if tokens >= MIN_SAMPLE_TOKENS && ms > 0.0 {
            let ratio = (pool.first_token_ms(tokens) / ms).clamp(BOUNDS.0, BOUNDS.1);
            self.0 += (ratio - self.0) * SMOOTHING;
        }
    }
}
