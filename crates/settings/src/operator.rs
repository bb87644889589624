//! Operators who may give commands.

use mulberryyoke_model::KeyHash;
use serde::Deserialize;

/// An operator and the hash of its key.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Name, as it stands in audit events and in the history.
    pub name: String,
    /// SHA-256 of the bearer key, in lower-case hex.
    pub key: KeyHash,
}
