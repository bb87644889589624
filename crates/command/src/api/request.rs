//! The body of a command.

use serde::{Deserialize, Serialize};

/// A command as sent to the operator port.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// The command's words.
    pub words: Vec<String>,
    /// Identity of the command, chosen by the sender, so that the same command
    /// can be sent again when its answer was lost; the router draws one when absent.
    #[serde(default, with = "super::hex::option")]
    pub command: Option<u64>,
}
