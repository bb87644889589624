//! What one running request has been charged.

/// Charge of one running request: its estimate, raised once more tokens have
/// streamed than that, settled at its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Charge {
    estimate: u64,
    metered: u64,
}

impl Charge {
    /// A charge of an estimate, in tokens.
    #[must_use]
    pub const fn open(estimate: u64) -> Self {
        Self {
            estimate,
            metered: 0,
        }
    }

    /// Tokens charged so far.
    #[must_use]
    pub fn charged(&self) -> u64 {
        self.estimate.max(self.metered)
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

    /// Settles at the end. Returns what the estimate charged too much.
    #[must_use]
    pub fn settle(&self) -> u64 {
        self.charged() - self.metered
    }
}
