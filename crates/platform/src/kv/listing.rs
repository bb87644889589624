//! The keys below a prefix.

use crate::kv::{Pair, Revision};

/// The keys below a prefix, as of one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// The service's revision.
    pub revision: Revision,
    /// The keys, in their order.
    pub entries: Vec<Pair>,
}
