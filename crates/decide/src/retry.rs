//! Retry budget: a token bucket filled by first attempts.

/// Initial capacity, in retries.
const BURST: u32 = 10;

/// Tokens that one retry costs: a token is a hundredth of a retry.
const RETRY_COST: u64 = 100;

/// Retry budget. Each first attempt deposits a fraction of a retry, which bounds the extra load
/// that retries cause during an outage.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    percent: u64,
    /// Maximum number of tokens.
    capacity: u64,
    tokens: u64,
}

impl Budget {
    /// Creates a full budget that allows `percent` retries per hundred first attempts.
    #[must_use]
    pub fn new(percent: u32) -> Self {
        let burst = if percent == 0 { 0 } else { BURST };
        let capacity = u64::from(burst) * RETRY_COST;
        Self {
            percent: u64::from(percent),
            capacity,
            tokens: capacity,
        }
    }

    /// Sets the maximum number of saved-up retries, in hundredths of a retry.
    pub fn set_capacity(&mut self, hundredths: u64) {
        self.capacity = hundredths;
        self.tokens = self.tokens.min(hundredths);
    }

    /// Counts a first attempt.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.percent).min(self.capacity);
    }

    /// Withdraws one retry; returns `false` if the budget is exhausted.
    pub fn try_withdraw(&mut self) -> bool {
        let Some(rest) = self.tokens.checked_sub(RETRY_COST) else {
            return false;
        };
        self.tokens = rest;
        true
    }

    /// Returns the number of whole retries available.
    #[must_use]
    pub const fn available(&self) -> u64 {
        self.tokens / RETRY_COST
    }
}
