//! What a router's operator port answers.

mod conflict;
mod hex;
mod item;
mod node;
mod refusal;
mod request;
mod status;
mod waiting;
mod write;
mod written;

use serde::{Deserialize, Serialize};

pub use conflict::Conflict;
pub use item::Item;
pub use node::{Node, Role};
pub use refusal::{Code, Refusal};
pub use request::Request;
pub use status::{Status, Tally};
pub use waiting::{Counter, Waiter, Waiting};
pub use write::Write;
pub use written::Written;

/// The answer to one command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// A change was accepted.
    Written(Written),
    /// Configured objects, each with its latest write.
    Items(Vec<Item>),
    /// The state of the fleet.
    Status(Status),
    /// Who is waiting, and why.
    Waiting(Waiting),
    /// Writes, newest first.
    History(Vec<Write>),
    /// Help that the words asked for.
    Help(String),
}

/// The body of an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// Whether the command was carried out.
    pub ok: bool,
    /// The answer, when it was.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<Answer>,
    /// Why not, when it was not.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<Refusal>,
}

impl From<Result<Answer, Refusal>> for Reply {
    fn from(result: Result<Answer, Refusal>) -> Self {
        let ok = result.is_ok();
        let (answer, error) = match result {
            Ok(answer) => (Some(answer), None),
            Err(refusal) => (None, Some(refusal)),
        };
        Self { ok, answer, error }
    }
}
