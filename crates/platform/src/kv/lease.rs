//! Leases.

use std::fmt;
use std::time::Instant;

/// Identity of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId(pub u64);

impl fmt::Display for LeaseId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// A lease as granted or renewed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Its identity.
    pub id: LeaseId,
    /// When it lapses at the earliest, counted from before the call was sent. That it
    /// has not passed proves nothing about a process that was paused since it looked.
    pub deadline: Instant,
}
