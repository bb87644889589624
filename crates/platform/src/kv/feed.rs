//! A key-value service whose changes are asked for call by call.

use crate::kv::{Call, Event, Listing, Revision};

/// Writes after a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// The service's revision; the next call continues from here.
    pub revision: Revision,
    /// The writes, in the order of their revisions.
    pub events: Vec<Event>,
}

/// Reading keys and then their changes, by calls that wait until there are some.
pub trait Feed: Send + Sync {
    /// Reads all keys that start with `prefix`. Pages of a long listing are not
    /// of one revision; the listing's revision is that of the first.
    fn list<'a>(&'a self, prefix: &'a str) -> Call<'a, Listing>;

    /// Returns the writes after a revision as soon as there are some, or none
    /// after `wait_ms` milliseconds.
    fn changes<'a>(&'a self, prefix: &'a str, after: Revision, wait_ms: u64) -> Call<'a, Changes>;
}
