//! Limits of membership.

use mulberryyoke_model::Millis;

/// Limits of membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// How long calls to a router fail before it is suspect, in milliseconds.
    pub suspect_ms: Millis,
    /// Most routers that all exchange with each other.
    pub max_full_mesh: usize,
    /// Most children of a router above that.
    pub fanout: usize,
    /// Most routers that all watch the key-value service.
    pub max_all_watching: usize,
    /// Routers of each zone that watch above that.
    pub watchers_per_zone: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            suspect_ms: 3_000,
            max_full_mesh: 24,
            fanout: 4,
            max_all_watching: 8,
            watchers_per_zone: 2,
        }
    }
}
