//! Bounds of membership.

use mulberryyoke_model::Millis;

/// Bounds of membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// How long calls to a router fail before it is suspect, in milliseconds.
    pub suspect_ms: Millis,
    /// Most routers that all exchange with each other.
    pub flat: usize,
    /// Most children of a router above that.
    pub fanout: usize,
    /// Most routers that all watch the key-value service.
    pub watching: usize,
    /// Routers of each zone that watch above that.
    pub watchers: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            suspect_ms: 3_000,
            flat: 24,
            fanout: 4,
            watching: 8,
            watchers: 2,
        }
    }
}
