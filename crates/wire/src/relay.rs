//! What gateways pass on to each other of the key-value service.

use serde::{Deserialize, Serialize};

/// Path under which a gateway passes on every key.
pub const LIST: &str = "/relay/list";

/// Path under which a gateway passes on writes after a revision, in the query
/// `era=ERA&after=REVISION&wait_ms=MILLISECONDS`.
pub const CHANGES: &str = "/relay/changes";

/// Writes as a gateway knows them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relayed {
    /// When the gateway last knew that there were no others, in milliseconds after
    /// the call came; negative if before.
    pub known_ms: i64,
    /// The service's revision up to which it knows them.
    pub revision: u64,
    /// The writes, in the order of their revisions.
    pub writes: Vec<Write>,
    /// The service's era to which the revisions belong. It is the last field, so that gateways
    /// of a release without eras read the others.
    pub era: u64,
}

/// A write of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The key.
    pub key: String,
    /// What was written; `None` when the key was deleted.
    pub value: Option<Vec<u8>>,
    /// Revision of the write.
    pub revision: u64,
}

impl Relayed {
    /// Encodes it.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads an encoded one; `None` if it is none.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
