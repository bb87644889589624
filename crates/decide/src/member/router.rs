//! Identity and location of a router.

use xxhash_rust::xxh3::xxh3_64;

/// Identity and location of a router.
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
    /// Priority in the tree. A parent always has a higher priority than its children,
    /// even when routers disagree about the membership, so that no cycle can form.
    pub(super) fn priority(&self) -> (u64, &str) {
        (xxh3_64(self.name.as_bytes()), &self.name)
    }
}
