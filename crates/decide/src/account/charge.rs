//! What one running request has been charged.

/// How far the charge of a running request is ahead of its stream, in tokens.
pub const CHARGE_LEAD: u64 = 128;

/// Charge of one running request: what has streamed and up to [`CHARGE_LEAD`] tokens of
/// what is still expected, so that a customer's charges rise about as its requests
/// run, and a request that was just started counts at once. Settled at the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Charge {
    estimate: u64,
    metered: u64,
}

impl Charge {
    /// The charge of a request that starts now, with an estimated cost in tokens.
    #[must_use]
    pub const fn new(estimate: u64) -> Self {
        Self {
            estimate,
            metered: 0,
        }
    }

    /// Tokens charged so far.
    #[must_use]
    pub fn charged(&self) -> u64 {
        let ahead = self.estimate.min(self.metered + CHARGE_LEAD);
        self.metered.max(ahead)
    }

    /// Tokens that streamed so far.
    #[must_use]
    pub const fn metered(&self) -> u64 {
        self.metered
    }

    /// Counts streamed tokens. Returns what has to be charged on top.
    pub fn meter(&mut self, tokens: u64) -> u64 {
        let before = self.charged();
        self.metered += tokens;
        self.charged() - before
    }

    /// Settles at the end. Returns what was charged too much.
    #[must_use]
    pub fn settle(&self) -> u64 {
        self.charged() - self.metered
    }
}
