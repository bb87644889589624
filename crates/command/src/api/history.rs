//! Accepted writes.

use mulberryyoke_model::{Millis, Revision};
use serde::{Deserialize, Serialize};

/// One accepted write of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Key below the configuration prefix.
    pub key: String,
    /// Its revision.
    pub revision: Revision,
    /// Who wrote it.
    pub operator: String,
    /// Identity of the command.
    #[serde(with = "super::hex")]
    pub command: u64,
    /// When.
    pub at: Millis,
    /// The words of the command.
    pub words: String,
}
