//! Routes.

use mulberryyoke_model::PoolId;

use super::RequestKind;

/// Where requests of a host and path go, and within what bounds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Host that callers name.
    pub host: String,
    /// Beginning of the path, with a slash at both ends.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RequestKind,
    /// Whether it takes requests without a key.
    pub is_public: bool,
    /// Longest time that a caller is kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer, or a stream's first event, is on time, in milliseconds.
    pub objective_ms: u64,
    /// Longest pause between events of an answer that is on time, in milliseconds.
    pub max_gap_ms: Option<u64>,
    /// Most servers that may run one request.
    pub max_attempts: u32,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Pools, with their portions of the requests.
    pub targets: Vec<Target>,
}

/// A pool and its portion of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// The pool.
    pub pool: PoolId,
    /// Its portion, relative to those of the route's other targets.
    pub weight: u32,
}

impl Route {
    /// The pool of a request, for a uniformly random number. `None` without targets.
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
