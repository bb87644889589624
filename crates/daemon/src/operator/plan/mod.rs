//! Computes the value that a change writes, from the current configuration. Performs no I/O.

pub(crate) mod customer;
pub(crate) mod pool;
pub(crate) mod server;

use mulberryyoke_command::api::{CommandError, ErrorCode};
use mulberryyoke_model::Object;

/// Effect of a change on a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Plan {
    /// Writes a new value; `None` removes the object.
    Write(Option<Object>),
    /// The key already has the requested value.
    Unchanged,
}

impl Plan {
    /// Writes `object` unless it equals the current one.
    fn write_if_changed(object: Object, current: Option<&Object>) -> Self {
        if current == Some(&object) {
            return Self::Unchanged;
        }
        Self::Write(Some(object))
    }
}

fn already_exists(key: &str) -> CommandError {
    CommandError::new(ErrorCode::Conflict, format!("{key}: already exists"))
}

fn not_found(key: &str) -> CommandError {
    CommandError::new(ErrorCode::Missing, format!("{key}: does not exist"))
}

fn rejected(key: &str, reason: impl std::fmt::Display) -> CommandError {
    CommandError::new(ErrorCode::Refused, format!("{key}: {reason}"))
}
