//! Watch events.

use crate::kv::Revision;

/// A write observed by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Key that was written or deleted.
    pub key: String,
    /// New value, or `None` when the key was deleted.
    pub value: Option<Vec<u8>>,
    /// Revision of the write.
    pub revision: Revision,
}
