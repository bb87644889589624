//! What stands in the way of a change.

use mulberryyoke_model::{Millis, Object, Revision};
use serde::{Deserialize, Serialize};

/// What is there now in place of what the command expected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// Key below the configuration prefix.
    pub key: String,
    /// Revision since which it is there; `None` when nothing is.
    pub revision: Option<Revision>,
    /// Operator who wrote it.
    pub operator: String,
    /// Identity of the command that wrote it.
    #[serde(with = "super::hex")]
    pub command: u64,
    /// When it was written.
    pub at: Millis,
    /// The words of that command.
    pub words: String,
    /// What is there; `None` once removed.
    pub object: Option<Object>,
}
