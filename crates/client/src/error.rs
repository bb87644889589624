//! Errors of the client.

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use displaydoc::Display;
use mulberryyoke_command::api::{CommandError, ErrorCode};
use mulberryyoke_settings as settings;

/// Error of a run of the client.
#[derive(Debug, Display)]
pub(crate) enum Error {
    /// {0}
    Help(String),
    /// could not parse command line: {0}
    Usage(String),
    /// {0}
    Settings(settings::Error),
    /// could not read bearer key: {path}: {source}
    Key {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// bearer key missing; use --key-file or set `MULBERRYYOKE_KEY`
    NoKey,
    /// could not start runtime: {0}
    Runtime(io::Error),
    /// could not reach any router: {0}
    Unreachable(String),
    /// protocol error: {0}
    Protocol(String),
    /// {0}
    Command(CommandError),
    /// {1}
    CommandJson(ErrorCode, String),
    /// revision {revision} not yet applied by every node; lagging: {nodes}
    Lagging {
        /// Revision of the change.
        revision: u64,
        /// Lagging nodes and the revisions that they have applied.
        nodes: String,
    },
}

impl std::error::Error for Error {}

/// The router rejected the command.
const EXIT_REJECTED: u8 = 1;
/// The command line or the settings are invalid.
const EXIT_USAGE: u8 = 2;
/// No router was reached, the outcome is unknown, or nodes have not yet applied the change.
const EXIT_UNCONFIRMED: u8 = 3;

impl Error {
    /// Prints help and JSON to standard output, other errors to standard error.
    pub(crate) fn print(&self) {
        match self {
            Self::Help(text) | Self::CommandJson(_, text) => println!("{text}"),
            _ => eprintln!("mulberryyoke: {self}"),
        }
    }

    /// Exit code of the process.
    pub(crate) fn exit_code(&self) -> ExitCode {
        match self {
            Self::Help(_) => ExitCode::SUCCESS,
            Self::Usage(_) | Self::Settings(_) | Self::Key { .. } | Self::NoKey => {
                ExitCode::from(EXIT_USAGE)
            }
            Self::Command(error) => ExitCode::from(command_exit_code(error.code)),
            Self::CommandJson(code, _) => ExitCode::from(command_exit_code(*code)),
            Self::Runtime(_) | Self::Unreachable(_) | Self::Protocol(_) | Self::Lagging { .. } => {
                ExitCode::from(EXIT_UNCONFIRMED)
            }
        }
    }
}

const fn command_exit_code(code: ErrorCode) -> u8 {
    match code {
        ErrorCode::Usage => EXIT_USAGE,
        ErrorCode::Unavailable | ErrorCode::Unknown => EXIT_UNCONFIRMED,
        ErrorCode::Denied | ErrorCode::Conflict | ErrorCode::Missing | ErrorCode::Refused => {
            EXIT_REJECTED
        }
    }
}
