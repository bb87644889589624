//! Limits of membership.

use mulberryyoke_model::Millis;

/// Limits of membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// How long calls to a router must fail before it is suspect, in milliseconds.
    pub suspect_ms: Millis,
    /// Maximum number of routers in a full mesh.
    pub max_full_mesh: usize,
    /// Maximum number of children of a router in each heap of a larger fleet's tree.
    pub fanout: usize,
    /// Maximum number of routers that all watch the key-value service.
    pub max_all_watching: usize,
    /// Routers per zone that watch the key-value service in a larger fleet.
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
