//! A key-value service whose changes are asked for call by call.

use crate::kv::{Call, Era, Event, Lease, LeaseId, Pair, Position, Revision};

/// Writes after a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// How far the service's writes are known; the next call continues from here, unless the
    /// era is another one: then every key has to be read again.
    pub position: Position,
    /// The writes, in the order of their revisions.
    pub events: Vec<Event>,
}

/// Every key with a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Contents {
    /// How far the service's writes are known.
    pub position: Position,
    /// The keys, in their order.
    pub entries: Vec<Pair>,
}

/// A key-value service as gateways use it: reading keys and then their changes, by
/// calls that wait until there are some, and keeping a key for as long as one lives.
pub trait Feed: Send + Sync {
    /// Reads all keys that start with `prefix`. Pages of a long listing are not
    /// of one revision; the listing's position is that of the first.
    fn list<'a>(&'a self, prefix: &'a str) -> Call<'a, Contents>;

    /// Returns the writes after a revision as soon as there are some, or none
    /// after `wait_ms` milliseconds.
    fn changes<'a>(&'a self, prefix: &'a str, after: Revision, wait_ms: u64) -> Call<'a, Changes>;

    /// Opens a lease of at least `ttl_ms` milliseconds.
    fn grant(&self, ttl_ms: u64) -> Call<'_, Lease>;

    /// Renews a lease; [`crate::kv::Error::LeaseExpired`] when it has ended.
    fn keep_alive(&self, id: LeaseId) -> Call<'_, Lease>;

    /// Writes a key that goes when the lease ends.
    fn put<'a>(&'a self, key: &'a str, value: &'a [u8], lease: LeaseId) -> Call<'a, ()>;

    /// The latest era that any answer told. Leases of an earlier one are gone, and another may
    /// have been given their number.
    fn era(&self) -> Era;
}
