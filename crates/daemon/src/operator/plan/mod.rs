//! What a change would write, from what is there now. No input or output.

pub(crate) mod customer;
pub(crate) mod pool;
pub(crate) mod server;

use mulberryyoke_command::answer::{Code, Refusal};
use mulberryyoke_model::Object;

/// What a change would write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Plan {
    /// A new value; `None` removes.
    Write(Option<Object>),
    /// Nothing: it is already as asked.
    Keep,
}

impl Plan {
    /// Writes an object unless it is there already.
    fn put(object: Object, held: Option<&Object>) -> Self {
        if held == Some(&object) {
            return Self::Keep;
        }
        Self::Write(Some(object))
    }
}

fn exists(key: &str) -> Refusal {
    Refusal::new(Code::Conflict, format!("{key}: exists already"))
}

fn missing(key: &str) -> Refusal {
    Refusal::new(Code::Missing, format!("{key}: does not exist"))
}

fn refused(key: &str, reason: impl std::fmt::Display) -> Refusal {
    Refusal::new(Code::Refused, format!("{key}: {reason}"))
}
