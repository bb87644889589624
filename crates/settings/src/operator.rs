//! Operators that may run commands.

use mulberryyoke_model::KeyHash;
use serde::Deserialize;

/// Operator with the hash of its key.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Name, as in audit events and in the history.
    pub name: String,
    /// SHA-256 of the bearer key, in lowercase hexadecimal.
    pub key: KeyHash,
}
