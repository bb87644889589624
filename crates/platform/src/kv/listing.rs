//! Listings of keys by prefix.

use crate::kv::{Pair, Revision};

/// All keys with a given prefix at a single revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// Revision of the listing.
    pub revision: Revision,
    /// The entries in key order.
    pub entries: Vec<Pair>,
}
