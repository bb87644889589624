//! Correction of a customer's cost estimates.

/// Weight of a new observation in the moving average.
const SMOOTHING: f64 = 0.125;

/// Maximum correction factor in either direction.
const MAX_RATIO: f64 = 32.0;

/// Moving average of the ratio of actual to estimated cost. Corrects customers
/// whose length hints are consistently too low or too high.
#[derive(Clone, Copy, Debug)]
pub struct CostCorrection {
    ratio: f64,
}

impl Default for CostCorrection {
    fn default() -> Self {
        Self { ratio: 1.0 }
    }
}

impl CostCorrection {
    /// Corrected estimate, in tokens; at least 1.
    #[must_use]
    pub fn correct(self, cost: u32) -> u64 {
        let tokens = f64::from(cost.max(1)) * self.ratio;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "positive and far below 2^63"
        )]
        let tokens = tokens.round() as u64;
        tokens.max(1)
    }

    /// Updates the ratio from a completed request.
    pub fn observe(&mut self, cost: u32, tokens: u64) {
        #[expect(
            clippy::cast_precision_loss,
            reason = "precision is irrelevant for an average"
        )]
        let observed = tokens as f64 / f64::from(cost.max(1));
        let observed = observed.clamp(MAX_RATIO.recip(), MAX_RATIO);
        self.ratio += SMOOTHING * (observed - self.ratio);
    }

    /// Ratio of actual to estimated cost.
    #[must_use]
    pub const fn ratio(self) -> f64 {
        self.ratio
    }
}
