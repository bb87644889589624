//! Configured routes.

use mulberryyoke_model::PoolId;

use super::RequestKind;

/// Maps a host and path prefix to pools, with limits and objectives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Configured name.
    pub name: String,
    /// Host name that requests must have.
    pub host: String,
    /// Path prefix, with a leading and a trailing slash.
    pub prefix: String,
    /// Retry semantics and response type.
    pub kind: RequestKind,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Maximum duration of a request, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective of a response, or of the first event of a stream, in milliseconds.
    pub objective_ms: u64,
    /// Latency objective between two events of a stream, in milliseconds.
    pub max_gap_ms: Option<u64>,
    /// Maximum number of servers that may run one request.
    pub max_attempts: u32,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Weighted pools.
    pub targets: Vec<Target>,
}

/// A pool and its share of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// ID of the pool.
    pub pool: PoolId,
    /// Weight relative to the other targets of the route.
    pub weight: u32,
}

impl Route {
    /// Selects a pool by weight with a uniformly distributed random number. `None` if there are no
    /// targets.
    #[must_use]
    pub fn select_pool(&self, random: u32) -> Option<PoolId> {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let mut point = u64::from(random).checked_rem(total)?;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if point < weight {
                return Some(target.pool);
            }
            point -= weight;
        }
        None
    }
}
