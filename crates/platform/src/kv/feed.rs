//! Long polling of the key-value service.

use crate::kv::{Call, Era, Event, Expect, Lease, LeaseId, Pair, Position, Revision};

/// The latest writes of keys after a given revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Position after these writes, from which the next call continues. If its era differs
    /// from the previous one, all keys have to be listed again.
    pub position: Position,
    /// The writes in revision order.
    pub events: Vec<Event>,
}

/// All keys with a given prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Contents {
    /// Position of the listing.
    pub position: Position,
    /// The entries in key order.
    pub entries: Vec<Pair>,
}

/// Client of the key-value service for gateways: lists keys, long-polls their changes and
/// maintains keys that are attached to a lease.
pub trait Feed: Send + Sync {
    /// Reads all keys that start with `prefix`, at most `max_bytes` of keys and values. Pages of a
    /// long listing may be of different revisions; the returned position is that of the first page.
    fn list<'a>(&'a self, prefix: &'a str, max_bytes: usize) -> Call<'a, Contents>;

    /// Returns the latest write of each key that was written after a revision as soon as there
    /// are any, or none after `wait_ms` milliseconds. The response may have `max_bytes`.
    fn changes<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
        wait_ms: u64,
        max_bytes: usize,
    ) -> Call<'a, Changes>;

    /// Grants a lease of at least `ttl_ms` milliseconds.
    fn grant(&self, ttl_ms: u64) -> Call<'_, Lease>;

    /// Renews a lease; [`crate::kv::Error::LeaseExpired`] when it has expired.
    fn keep_alive(&self, id: LeaseId) -> Call<'_, Lease>;

    /// Writes a key that is deleted when the lease ends.
    fn put<'a>(&'a self, key: &'a str, value: &'a [u8], lease: LeaseId) -> Call<'a, ()>;

    /// Writes a key that no lease ends, or deletes it if there is no value, if a condition holds;
    /// `false` if it does not.
    fn write_if<'a>(
        &'a self,
        key: &'a str,
        expected: Expect,
        value: Option<&'a [u8]>,
    ) -> Call<'a, bool>;

    /// Latest era in any response. Leases of earlier eras are gone, and their IDs may have been
    /// reused.
    fn era(&self) -> Era;
}
