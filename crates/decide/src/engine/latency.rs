//! Time to first token as a line over the prompt tokens to prefill.

/// Fixed part that is assumed without samples, in milliseconds: one decode step and a network
/// round trip.
const PRIOR_FIXED_MS: f64 = 20.0;

/// Prefill rate that is assumed without samples, in tokens per millisecond.
const PRIOR_TOKENS_PER_MS: f64 = 60.0;

/// Weight of the assumed fixed part, in samples.
const PRIOR_WEIGHT: f64 = 0.5;

/// Weight of the assumed rate, in squared tokens: that of two samples 500 tokens from their mean.
/// Samples of equal length say nothing about the rate; this decides between both parts then.
const PRIOR_TOKENS_SQUARED: f64 = 5e5;

/// Initial additional weight of the assumed rate, which decays like a sample: that of 16 samples
/// 500 tokens from their mean. The first few samples would determine the rate otherwise.
const INITIAL_TOKENS_SQUARED: f64 = 4e6;

/// Shortest and longest accepted fixed part, in milliseconds.
const FIXED_BOUNDS_MS: (f64, f64) = (5.0, 300.0);

/// Lowest and highest accepted prefill rate, in tokens per millisecond.
const TOKENS_PER_MS_BOUNDS: (f64, f64) = (6.0, 400.0);

/// Factor by which a sample's weight falls with each later one.
const DECAY: f64 = 0.99;

/// Deviation that is assumed without samples, in milliseconds.
const INITIAL_DEVIATION_MS: f64 = 20.0;

/// Smallest deviation that is assumed, in milliseconds: the resolution of the clock and a step.
const MIN_DEVIATION_MS: f64 = 5.0;

/// Smoothing factor of the deviation.
const DEVIATION_SMOOTHING: f64 = 0.2;

/// Multiples of the deviation and of the expected time by which a sample may exceed the latter.
/// With wider limits, samples that waited for a slot would raise the line.
const EXCESS_LIMITS: (f64, f64) = (3.0, 0.2);

/// A line through observed pairs of prompt tokens, queued ahead and own, and milliseconds to the
/// first token: a fixed part and a prefill rate. Least squares with exponential decay and a weak
/// prior.
///
/// The time of a sample is limited to 1.2 times the expected time plus three times the mean absolute
/// deviation from the line, so that a stalled server moves the line by little. A lasting change
/// raises the limit with each sample. Shorter times are not limited: no fault causes them. Medians
/// would resist more outliers, but need a window of samples in each pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Latency {
    fixed_ms: f64,
    ms_per_token: f64,
    /// Mean absolute deviation of the samples from the line, in milliseconds.
    deviation_ms: f64,
    /// Weighted sums over the samples: of 1, the tokens, their squares, the milliseconds above the
    /// prior's line, and their products with the tokens.
    count: f64,
    tokens: f64,
    tokens_squared: f64,
    excess: f64,
    tokens_excess: f64,
}

impl Default for Latency {
    fn default() -> Self {
        Self {
            fixed_ms: PRIOR_FIXED_MS,
            ms_per_token: 1.0 / PRIOR_TOKENS_PER_MS,
            deviation_ms: INITIAL_DEVIATION_MS,
            count: 0.0,
            tokens: 0.0,
            tokens_squared: INITIAL_TOKENS_SQUARED,
            excess: 0.0,
            tokens_excess: 0.0,
        }
    }
}

impl Latency {
    /// Time to first token that does not depend on the prompt, in milliseconds.
    #[must_use]
    pub const fn fixed_ms(self) -> f64 {
        self.fixed_ms
    }

    /// Prefill rate, in tokens per millisecond.
    #[must_use]
    pub const fn tokens_per_ms(self) -> f64 {
        1.0 / self.ms_per_token
    }

    /// Expected time to first token with `tokens` to prefill, in milliseconds.
    #[must_use]
    pub fn first_token_ms(self, tokens: u32) -> f64 {
        self.fixed_ms + f64::from(tokens) * self.ms_per_token
    }

    /// Records that the first token took `ms` with `tokens` to prefill.
    pub fn record(&mut self, tokens: u32, ms: f64) {
        let expected_ms = self.first_token_ms(tokens);
        let limit_ms = self.deviation_ms * EXCESS_LIMITS.0 + expected_ms * EXCESS_LIMITS.1;
        let deviation_ms = (ms.max(0.0) - expected_ms).min(limit_ms);
        self.deviation_ms += (deviation_ms.abs() - self.deviation_ms) * DEVIATION_SMOOTHING;
        self.deviation_ms = self.deviation_ms.max(MIN_DEVIATION_MS);
        let tokens = f64::from(tokens);
        let prior_ms = PRIOR_FIXED_MS + tokens / PRIOR_TOKENS_PER_MS;
        let excess = expected_ms + deviation_ms - prior_ms;
        self.count = self.count * DECAY + 1.0;
        self.tokens = self.tokens * DECAY + tokens;
        self.tokens_squared = self.tokens_squared * DECAY + tokens * tokens;
        self.excess = self.excess * DECAY + excess;
        self.tokens_excess = self.tokens_excess * DECAY + tokens * excess;
        self.fit();
    }

    /// Solves the normal equations for the deviation from the prior's line. If one part is out of
    /// bounds, the other is fitted to its bound.
    fn fit(&mut self) {
        let count = self.count + PRIOR_WEIGHT;
        let squared = self.tokens_squared + PRIOR_TOKENS_SQUARED;
        let determinant = count * squared - self.tokens * self.tokens;
        let fixed = (self.excess * squared - self.tokens_excess * self.tokens) / determinant;
        self.fixed_ms = (PRIOR_FIXED_MS + fixed).clamp(FIXED_BOUNDS_MS.0, FIXED_BOUNDS_MS.1);
        let fixed = self.fixed_ms - PRIOR_FIXED_MS;
        let slope =
            1.0 / PRIOR_TOKENS_PER_MS + (self.tokens_excess - fixed * self.tokens) / squared;
        let (slowest, fastest) = TOKENS_PER_MS_BOUNDS;
        self.ms_per_token = slope.clamp(1.0 / fastest, 1.0 / slowest);
        let slope = self.ms_per_token - 1.0 / PRIOR_TOKENS_PER_MS;
        let fixed = PRIOR_FIXED_MS + (self.excess - slope * self.tokens) / count;
        self.fixed_ms = fixed.clamp(FIXED_BOUNDS_MS.0, FIXED_BOUNDS_MS.1);
    }
}
