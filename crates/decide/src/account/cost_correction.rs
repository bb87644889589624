//! How far a customer's hints are off.

/// Parts of the newest observation in the running mean.
const WEIGHT: f64 = 0.125;

/// Largest correction of an estimate, either way.
const MAX_RATIO: f64 = 32.0;

/// Running mean of true cost over estimated cost, so that a customer whose
/// hints are always low or high is charged about right from the start.
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
    /// The corrected estimate, in tokens; at least 1.
    #[must_use]
    pub fn correct(self, cost: u32) -> u64 {
        let tokens = f64::from(cost.max(1)) * self.ratio;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a positive number far below 2^63"
        )]
        let tokens = tokens.round() as u64;
        tokens.max(1)
    }

    /// Learns from a request that ran to its end.
    pub fn observe(&mut self, cost: u32, tokens: u64) {
        #[expect(clippy::cast_precision_loss, reason = "a rough mean")]
        let seen = tokens as f64 / f64::from(cost.max(1));
        let seen = seen.clamp(MAX_RATIO.recip(), MAX_RATIO);
        self.ratio += WEIGHT * (seen - self.ratio);
    }

    /// True cost over estimated cost.
    #[must_use]
    pub const fn ratio(self) -> f64 {
        self.ratio
    }
}
