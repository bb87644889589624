//! Conflicting writes.

use mulberryyoke_model::{Millis, Object, Revision};
use serde::{Deserialize, Serialize};

/// Current state of a key that differs from what the command expected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// Key under the configuration prefix.
    pub key: String,
    /// Revision of the latest write; `None` if the key does not exist.
    pub revision: Option<Revision>,
    /// Name of the operator.
    pub operator: String,
    /// ID of the command that wrote it.
    #[serde(with = "super::hex")]
    pub command: u64,
    /// Time of the write.
    pub at: Millis,
    /// Text of the command, without keys.
    pub words: String,
    /// Current object; `None` if it was removed.
    pub object: Option<Object>,
}
