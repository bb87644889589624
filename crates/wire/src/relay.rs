//! Relay of key-value service contents between gateways.

use serde::{Deserialize, Serialize};

/// Path that lists all keys.
pub const LIST: &str = "/relay/list";

/// Path that returns writes after a revision, with the query
/// `era=ERA&after=REVISION&wait_ms=MILLISECONDS`.
pub const CHANGES: &str = "/relay/changes";

/// Writes known to a gateway: the latest of every key, or those after a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Time at which the gateway last confirmed that the list is complete, in milliseconds
    /// after it received the call; negative if before.
    pub known_ms: i64,
    /// Revision of the key-value service up to which writes are included.
    pub revision: u64,
    /// The writes, in revision order.
    pub writes: Vec<Write>,
    /// Era of the key-value service to which the revisions belong. It is the last field, so
    /// that releases without eras can decode the others.
    pub era: u64,
}

/// A write of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The key.
    pub key: String,
    /// The value; `None` if the key was deleted.
    pub value: Option<Vec<u8>>,
    /// Revision of the write.
    pub revision: u64,
}

impl Batch {
    /// Encodes the writes.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes writes; `None` if the bytes are malformed.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
