//! A key and its value.

use crate::kv::{LeaseId, Revision};

/// A key and its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pair {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Revision of the last write.
    pub revision: Revision,
    /// Lease with which it was written.
    pub lease: Option<LeaseId>,
}
