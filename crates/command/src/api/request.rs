//! Body of a request.

use serde::{Deserialize, Serialize};

/// A command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// Words of the command line.
    pub words: Vec<String>,
    /// Command ID for safe retries after a lost response; random if absent.
    #[serde(default, with = "super::hex::option")]
    pub command: Option<u64>,
}
