//! Origin of a change.

use mulberryyoke_model::Millis;

/// Command that changes a key, with its operator and time.
#[derive(Clone, Debug)]
pub(crate) struct Author {
    /// ID of the command.
    pub(crate) command: u64,
    /// Name of the operator.
    pub(crate) operator: String,
    /// Text of the command, without bearer keys.
    pub(crate) words: String,
    /// Time at which the command was received.
    pub(crate) at: Millis,
}
