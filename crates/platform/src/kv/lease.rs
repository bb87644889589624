//! Leases.

use std::fmt;
use std::time::Instant;

/// ID of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId(pub u64);

impl fmt::Display for LeaseId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// A granted or renewed lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// ID of the lease.
    pub id: LeaseId,
    /// Earliest time at which the lease can expire, counted from before the call was sent.
    /// A process that is paused after checking it may still act on an expired lease.
    pub deadline: Instant,
}
