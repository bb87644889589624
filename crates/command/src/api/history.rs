//! History of writes.

use mulberryyoke_model::{Millis, Revision};
use serde::{Deserialize, Serialize};

/// A write of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Key under the configuration prefix.
    pub key: String,
    /// Revision of the write.
    pub revision: Revision,
    /// Name of the operator.
    pub operator: String,
    /// ID of the command.
    #[serde(with = "super::hex")]
    pub command: u64,
    /// Time of the write.
    pub at: Millis,
    /// Text of the command, without keys.
    pub words: String,
}
