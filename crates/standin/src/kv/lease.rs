//! Leases.

use std::time::{Duration, Instant};

/// A lease.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lease {
    /// Time to live, in seconds.
    pub ttl_s: u64,
    /// Time at which it expires unless renewed.
    pub deadline: Instant,
}

impl Lease {
    pub(crate) fn new(ttl_s: u64, now: Instant) -> Self {
        Self {
            ttl_s,
            deadline: now + Duration::from_secs(ttl_s),
        }
    }
}
