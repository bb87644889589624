//! Errors of commands.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::api::Conflict;

/// Kind of a command error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ErrorCode {
    /// The command cannot be parsed.
    Usage,
    /// The operator's bearer key is missing or unknown.
    Denied,
    /// The key has another state than the command expected.
    Conflict,
    /// The named object does not exist.
    Missing,
    /// The change is inconsistent with the rest of the configuration.
    Refused,
    /// The key-value service is unavailable; nothing was changed.
    Unavailable,
    /// The change may have taken effect; the command can be sent again with the same ID.
    Unknown,
}

impl ErrorCode {
    /// HTTP status of the response.
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

    /// Name in logs and responses.
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

/// Error of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandError {
    /// Kind of the error.
    pub code: ErrorCode,
    /// Human-readable description.
    pub message: String,
    /// ID of the command, for sending it again.
    #[serde(
        default,
        with = "super::hex::option",
        skip_serializing_if = "Option::is_none"
    )]
    pub command: Option<u64>,
    /// Current state of the key, for a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub conflict: Option<Box<Conflict>>,
}

impl CommandError {
    /// Creates an error without a command ID.
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
