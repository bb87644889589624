//! An accepted change.

use mulberryyoke_model::{Object, Revision};
use serde::{Deserialize, Serialize};

/// An accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteResult {
    /// Identity of the command.
    #[serde(with = "super::hex")]
    pub command: u64,
    /// Key below the configuration prefix.
    pub key: String,
    /// Revision at which it was accepted.
    pub revision: Revision,
    /// Whether an earlier sending of the same command had already been accepted.
    pub repeated: bool,
    /// Whether nothing had to be changed.
    pub unchanged: bool,
    /// Revision of a later write that has replaced this one, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub replaced: Option<Revision>,
    /// What the key holds now; `None` once removed.
    pub object: Option<Object>,
}
