//! Learned memory of requests.

use super::{Prompt, Reservation};

/// Smoothing factor of the mean tokens. With a larger one, a single prompt of 50,000 tokens would
/// change the estimated memory of a busy server by a tenth.
const SMOOTHING: f64 = 0.01;

/// Smoothing factor of the output ratio, for about ten observed requests per second.
const RATIO_SMOOTHING: f64 = 0.03;

/// Number of requests that the initial averages count for.
const INITIAL_REQUESTS: u32 = 10;

/// Initial mean tokens of a request, and of its unshared part.
const INITIAL_TOKENS: (f64, f64) = (2_000.0, 1_000.0);

/// Initial ratio of generated tokens to the maximum.
const INITIAL_OUTPUT_RATIO: f64 = 0.5;

/// Weight of a caller's estimate of the output against the learned ratio. Estimates are right at
/// the median, but often far off.
const HINT_WEIGHT: f64 = 0.3;

/// Moving averages of the memory that requests take, over the requests of a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Footprint {
    mean_tokens: f64,
    mean_unshared: f64,
    output_ratio: f64,
    /// Number of requests recorded.
    requests: u32,
}

impl Default for Footprint {
    fn default() -> Self {
        Self {
            mean_tokens: INITIAL_TOKENS.0,
            mean_unshared: INITIAL_TOKENS.1,
            output_ratio: INITIAL_OUTPUT_RATIO,
            requests: INITIAL_REQUESTS,
        }
    }
}

impl Footprint {
    /// Mean tokens of a request: prompt and output.
    #[must_use]
    pub const fn mean_tokens(self) -> f64 {
        self.mean_tokens
    }

    /// Mean tokens of a request without its shared parts.
    #[must_use]
    pub const fn mean_unshared(self) -> f64 {
        self.mean_unshared
    }

    /// Expected number of generated tokens.
    #[must_use]
    pub fn output_tokens(self, prompt: &Prompt) -> f64 {
        let max = f64::from(prompt.max_output_tokens);
        let learned = max * self.output_ratio;
        prompt.expected_output_tokens.map_or(learned, |hint| {
            learned + HINT_WEIGHT * (f64::from(hint).min(max) - learned)
        })
    }

    /// Memory that a request is expected to take.
    #[must_use]
    pub fn reservation(self, prompt: &Prompt) -> Reservation {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a fraction of a number of tokens"
        )]
        let output = self.output_tokens(prompt) as u32;
        let tokens = prompt.tokens.saturating_add(output);
        Reservation {
            tokens,
            unshared: tokens.saturating_sub(prompt.shared_tokens()),
        }
    }

    /// Records the memory of a request that was sent.
    pub fn record_request(&mut self, reservation: Reservation) {
        let (tokens, unshared) = (reservation.tokens, reservation.unshared);
        self.requests = self.requests.saturating_add(1);
        // The mean of all requests, until there are enough for a moving average.
        let weight = SMOOTHING.max(f64::from(self.requests).recip());
        self.mean_tokens += (f64::from(tokens) - self.mean_tokens) * weight;
        self.mean_unshared += (f64::from(unshared) - self.mean_unshared) * weight;
    }

    /// Records the number of tokens that a complete response had, out of a maximum.
    pub fn record_output(&mut self, generated: u32, max: u32) {
        if max > 0 {
            let ratio = (f64::from(generated) / f64::from(max)).min(1.0);
            self.output_ratio += (ratio - self.output_ratio) * RATIO_SMOOTHING;
        }
    }
}
