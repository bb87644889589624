//! Why a command was not carried out.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::api::Conflict;

/// The sort of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ErrorCode {
    /// The words are not a command.
    Usage,
    /// The operator's key is wrong or missing.
    Denied,
    /// Something else is there than the command expected.
    Conflict,
    /// What the command names does not exist.
    Missing,
    /// The change would contradict the rest of the configuration.
    Refused,
    /// The key-value service could not be reached; nothing was changed.
    Unavailable,
    /// The change may or may not have been accepted; send the command again.
    Unknown,
}

impl ErrorCode {
    /// The HTTP status it is sent with.
    #[must_use]
    pub const fn http_status(self) -> u16 {
        match self {
            Self::Usage => 400,
            Self::Denied => 401,
            Self::Missing => 404,
            Self::Conflict => 409,
            Self::Refused => 422,
            Self::Unavailable => 503,
            Self::Unknown => 504,
        }
    }

    /// The word used in logs and answers.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Usage => "usage",
            Self::Denied => "denied",
            Self::Conflict => "conflict",
            Self::Missing => "missing",
            Self::Refused => "refused",
            Self::Unavailable => "unavailable",
            Self::Unknown => "unknown",
        }
    }
}

/// Why a command was not carried out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandError {
    /// The sort.
    pub code: ErrorCode,
    /// For people.
    pub message: String,
    /// Identity of the command, to send it again.
    #[serde(
        default,
        with = "super::hex::option",
        skip_serializing_if = "Option::is_none"
    )]
    pub command: Option<u64>,
    /// What stands in the way.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub conflict: Option<Box<Conflict>>,
}

impl CommandError {
    /// A refusal with a message.
    pub fn new(code: ErrorCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            command: None,
            conflict: None,
        }
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.code.as_str(), self.message)
    }
}

impl std::error::Error for CommandError {}
