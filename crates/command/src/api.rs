//! What a router's operator port answers.

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

/// The answer to one command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Output {
    /// A change was accepted.
    Written(WriteResult),
    /// Configured objects, each with its latest write.
    Items(Vec<ConfigEntry>),
    /// The state of the fleet.
    Status(Status),
    /// Who is waiting, and why.
    Waiting(WaitingList),
    /// Writes, newest first.
    History(Vec<HistoryEntry>),
    /// Help that the words asked for.
    Help(String),
}

/// The body of an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Response {
    /// Whether the command was carried out.
    pub ok: bool,
    /// The answer, when it was.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<Output>,
    /// Why not, when it was not.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<CommandError>,
}

impl From<Result<Output, CommandError>> for Response {
    fn from(result: Result<Output, CommandError>) -> Self {
        let ok = result.is_ok();
        let (answer, error) = match result {
            Ok(answer) => (Some(answer), None),
            Err(refusal) => (None, Some(refusal)),
        };
        Self { ok, answer, error }
    }
}
