//! Bounds of the exchange.

use mulberryyoke_model::Millis;

/// Bounds of the exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Most counters in one message; only a first message to a receiver has all.
    pub entries: usize,
    /// When more counters than that have changed: how far, in tokens, one leaves its
    /// prediction before it is told.
    pub error: u64,
    /// How long a prediction holds without being confirmed, in milliseconds.
    pub horizon_ms: Millis,
    /// How long a life is remembered that is not heard of, in milliseconds.
    pub forget_ms: Millis,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            entries: 64,
            error: 256,
            horizon_ms: 5_000,
            forget_ms: 3_600_000,
        }
    }
}
