//! Charge of a running request.

/// Maximum lead of a request's charge over its streamed tokens.
pub const CHARGE_LEAD: u64 = 128;

/// Charge of one running request: its streamed tokens plus up to [`CHARGE_LEAD`]
/// of its estimated remaining tokens. A request is therefore charged from its
/// start, and its charge then follows the stream. Settled at the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Charge {
    estimate: u64,
    metered: u64,
}

impl Charge {
    /// Creates the charge of a starting request from its estimated cost in tokens.
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
        let with_lead = self.estimate.min(self.metered + CHARGE_LEAD);
        self.metered.max(with_lead)
    }

    /// Tokens streamed so far.
    #[must_use]
    pub const fn metered(&self) -> u64 {
        self.metered
    }

    /// Adds streamed tokens. Returns the increase of the charge.
    pub fn meter(&mut self, tokens: u64) -> u64 {
        let previous = self.charged();
        self.metered += tokens;
        self.charged() - previous
    }

    /// Returns the tokens charged above the streamed ones, to be refunded at the end.
    #[must_use]
    pub fn settle(&self) -> u64 {
        self.charged() - self.metered
    }
}
