//! Limits of the exchange.

use mulberryyoke_model::Millis;

/// Limits of the exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of counters in a message; the first message to a receiver
    /// contains all of them.
    pub max_entries: usize,
    /// Prediction error, in tokens, above which a counter takes precedence when more
    /// than `max_entries` have changed.
    pub max_error: u64,
    /// How long a prediction is valid without an update, in milliseconds.
    pub horizon_ms: Millis,
    /// How long the state of a silent instance is kept, in milliseconds.
    pub retention_ms: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_entries: 64,
            max_error: 256,
            horizon_ms: 5_000,
            retention_ms: 3_600_000,
        }
    }
}
