//! Results of changes.

use mulberryyoke_model::{Object, Revision};
use serde::{Deserialize, Serialize};

/// Result of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteResult {
    /// ID of the command.
    #[serde(with = "super::hex")]
    pub command: u64,
    /// Key under the configuration prefix.
    pub key: String,
    /// Revision of the write.
    pub revision: Revision,
    /// Whether an earlier attempt of the same command made the change.
    pub repeated: bool,
    /// Whether the object already had the requested value.
    pub unchanged: bool,
    /// Revision of a later write that replaced this one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub replaced: Option<Revision>,
    /// Current object; `None` if it was removed.
    pub object: Option<Object>,
}
