//! JSON bodies of the operator API.

mod config_entry;
mod conflict;
mod error;
mod hex;
mod history;
mod node;
mod request;
mod status;
mod waiting;
mod write_result;

use serde::{Deserialize, Serialize};

pub use config_entry::ConfigEntry;
pub use conflict::Conflict;
pub use error::{CommandError, ErrorCode};
pub use history::HistoryEntry;
pub use node::{Node, Role};
pub use request::Request;
pub use status::{Counts, Status};
pub use waiting::{CustomerQueue, WaitingList, WaitingRequest};
pub use write_result::WriteResult;

/// Output of a successful command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Output {
    /// Result of a change.
    Written(WriteResult),
    /// Configuration entries.
    Items(Vec<ConfigEntry>),
    /// State of the fleet.
    Status(Status),
    /// Queued requests.
    Waiting(WaitingList),
    /// Writes, newest first.
    History(Vec<HistoryEntry>),
    /// Help text.
    Help(String),
}

/// Body of a response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Response {
    /// Whether the command succeeded.
    pub ok: bool,
    /// Output, if it succeeded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<Output>,
    /// Error, if it failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<CommandError>,
}

impl From<Result<Output, CommandError>> for Response {
    fn from(result: Result<Output, CommandError>) -> Self {
        let ok = result.is_ok();
        let (answer, error) = match result {
            Ok(output) => (Some(output), None),
            Err(error) => (None, Some(error)),
        };
        Self { ok, answer, error }
    }
}
