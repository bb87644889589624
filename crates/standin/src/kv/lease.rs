//! Leases.

use std::time::{Duration, Instant};

/// A lease.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lease {
    /// Time it was granted for, in seconds.
    pub ttl_s: u64,
    /// When it lapses unless renewed.
    pub deadline: Instant,
}

impl Lease {
    /// A lease that begins now.
    pub(crate) fn open(ttl_s: u64, now: Instant) -> Self {
        Self {
            ttl_s,
            deadline: now + Duration::from_secs(ttl_s),
        }
    }
}
