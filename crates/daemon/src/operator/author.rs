//! Who changes a key.

use mulberryyoke_model::Millis;

/// Who changes a key, when, and by which words.
#[derive(Clone, Debug)]
pub(crate) struct Author {
    /// Identity of the command.
    pub(crate) command: u64,
    /// Name of the operator.
    pub(crate) operator: String,
    /// The command's words, without keys.
    pub(crate) words: String,
    /// When the command came.
    pub(crate) at: Millis,
}
