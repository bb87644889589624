//! Where a router runs.

use xxhash_rust::xxh3::xxh3_64;

/// A router and where it runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Router {
    /// Unique name.
    pub name: String,
    /// Region.
    pub region: String,
    /// Availability zone.
    pub zone: String,
}

impl Router {
    /// Rank in the tree; a parent's is always higher than its child's, whatever either
    /// of them knows of the others, so that no cycle can arise.
    pub(super) fn weight(&self) -> (u64, &str) {
        (xxh3_64(self.name.as_bytes()), &self.name)
    }
}
