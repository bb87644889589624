//! Limits of the exchange.

use mulberryyoke_model::Millis;

/// Limits of the exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Most counters in one message; only a first message to a receiver has all.
    pub max_entries: usize,
    /// When more counters than that have changed: how far, in tokens, one leaves its
    /// prediction before it is told.
    pub max_error: u64,
    /// How long a prediction holds without being confirmed, in milliseconds.
    pub horizon_ms: Millis,
    /// How long a life is remembered that is not heard of, in milliseconds.
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
