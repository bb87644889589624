//! Client of the key-value service: compare-and-swap, leases and watches.

mod error;
mod etcd;
mod event;
mod expect;
mod feed;
mod lease;
mod listing;
mod options;
mod pair;
mod position;
mod swap;
mod watch;

pub use self::error::Error;
pub use self::etcd::Etcd;
pub use self::event::Event;
pub use self::expect::Expect;
pub use self::feed::{Changes, Contents, Feed};
pub use self::lease::{Lease, LeaseId};
pub use self::listing::Listing;
pub use self::options::Options;
pub use self::pair::Pair;
pub use self::position::{Era, Position};
pub use self::swap::Swap;
pub use self::watch::Watch;

/// Revision of the key-value service, increased by every write.
pub type Revision = u64;

/// A call to the key-value service.
pub type Call<'a, T> = crate::Call<'a, T, Error>;

/// Maximum size of a value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Client of the key-value service, usable as `Arc<dyn Kv>`.
pub trait Kv: Send + Sync {
    /// Reads all keys that start with `prefix` at a single revision.
    fn range<'a>(&'a self, prefix: &'a str) -> Call<'a, Listing>;

    /// Reads one key.
    fn get<'a>(&'a self, key: &'a str) -> Call<'a, Option<Pair>>;

    /// Writes `value` under `key`, or deletes the key when `value` is `None`, if the key
    /// matches `expected`. A key written with a lease is deleted when the lease expires.
    fn swap<'a>(
        &'a self,
        key: &'a str,
        expected: Expect,
        value: Option<Vec<u8>>,
        lease: Option<LeaseId>,
    ) -> Call<'a, Swap>;

    /// Watches all keys that start with `prefix`, from revision `from` on (0 for new writes
    /// only). A watch that fails yields the error and ends; the caller opens another from
    /// the revision after the last one received.
    fn watch<'a>(&'a self, prefix: &'a str, from: Revision) -> Call<'a, Watch>;

    /// Grants a lease of at least `ttl_ms` milliseconds, rounded up to whole seconds.
    fn lease_grant(&self, ttl_ms: u64) -> Call<'_, Lease>;

    /// Renews a lease.
    fn lease_keep_alive(&self, id: LeaseId) -> Call<'_, Lease>;

    /// Revokes a lease and deletes the keys attached to it.
    fn lease_revoke(&self, id: LeaseId) -> Call<'_, ()>;
}
