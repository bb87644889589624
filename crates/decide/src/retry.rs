//! The budget of retries: a token bucket filled by first attempts.

/// Retries that may be made at once after a quiet time.
const BURST: u32 = 10;

/// Hundredths of a retry.
const WHOLE: u64 = 100;

/// A budget of retries. Each first attempt adds a stated fraction of a retry,
/// so that a fault costs at most that much extra load.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    percent: u64,
    /// Most that may be saved up, in hundredths of a retry.
    full: u64,
    hundredths: u64,
}

impl Budget {
    /// A full budget that allows `percent` retries per hundred first attempts.
    #[must_use]
    pub fn new(percent: u32) -> Self {
        let burst = if percent == 0 { 0 } else { BURST };
        let full = u64::from(burst) * WHOLE;
        Self {
            percent: u64::from(percent),
            full,
            hundredths: full,
        }
    }

    /// Bounds what may be saved up, in hundredths of a retry.
    pub fn set_capacity(&mut self, hundredths: u64) {
        self.full = hundredths;
        self.hundredths = self.hundredths.min(hundredths);
    }

    /// Counts a first attempt.
    pub fn deposit(&mut self) {
        self.hundredths = (self.hundredths + self.percent).min(self.full);
    }

    /// Spends a retry; `false` when none is left.
    pub fn try_withdraw(&mut self) -> bool {
        let Some(rest) = self.hundredths.checked_sub(WHOLE) else {
            return false;
        };
        self.hundredths = rest;
        true
    }

    /// Whole retries that could be spent now.
    #[must_use]
    pub const fn available(&self) -> u64 {
        self.hundredths / WHOLE
    }
}
