//! Key-value pairs.

use crate::kv::{LeaseId, Revision};

/// A key with its value and metadata.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pair {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Revision of the last write.
    pub revision: Revision,
    /// Lease that the key is attached to.
    pub lease: Option<LeaseId>,
}
