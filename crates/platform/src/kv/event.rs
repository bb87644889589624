//! A watched write.

use crate::kv::Revision;

/// A watched write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Key that was written.
    pub key: String,
    /// What was written; `None` when the key was deleted.
    pub value: Option<Vec<u8>>,
    /// Revision of the write.
    pub revision: Revision,
}
