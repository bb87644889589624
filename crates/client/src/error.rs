//! Errors that end the client.

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use displaydoc::Display;
use mulberryyoke_command::api::{CommandError, ErrorCode};
use mulberryyoke_settings as settings;

/// Why a command was not done.
#[derive(Debug, Display)]
pub(crate) enum Error {
    /// {0}
    Help(String),
    /// could not read command line: {0}
    Usage(String),
    /// {0}
    Settings(settings::Error),
    /// could not read key: {path}: {source}
    Key {
        /// The file.
        path: PathBuf,
        /// What the operating system said.
        source: io::Error,
    },
    /// could not read key: give --key-file, or the variable `MULBERRYYOKE_KEY`
    NoKey,
    /// could not start runtime: {0}
    Runtime(io::Error),
    /// could not reach a router: {0}
    Unreachable(String),
    /// could not understand answer: {0}
    Answer(String),
    /// {0}
    Refused(CommandError),
    /// {1}
    RefusedJson(ErrorCode, String),
    /// could not see revision {revision} in force everywhere in time; lagging: {nodes}
    Lagging {
        /// The revision.
        revision: u64,
        /// Nodes that lag, with what is known of them.
        nodes: String,
    },
}

impl std::error::Error for Error {}

/// The command was refused.
const REFUSED: u8 = 1;
/// The command line or the settings are wrong.
const USAGE: u8 = 2;
/// Nothing was reached, or the outcome is unknown.
const UNKNOWN: u8 = 3;

impl Error {
    /// Prints it: help and JSON to standard output, the rest to standard error.
    pub(crate) fn print(&self) {
        match self {
            Self::Help(text) | Self::RefusedJson(_, text) => println!("{text}"),
            _ => eprintln!("mulberryyoke: {self}"),
        }
    }

    /// The process's exit code.
    pub(crate) fn exit_code(&self) -> ExitCode {
        match self {
            Self::Help(_) => ExitCode::SUCCESS,
            Self::Usage(_) | Self::Settings(_) | Self::Key { .. } | Self::NoKey => {
                ExitCode::from(USAGE)
            }
            Self::Refused(refusal) => ExitCode::from(refused(refusal.code)),
            Self::RefusedJson(code, _) => ExitCode::from(refused(*code)),
            Self::Runtime(_) | Self::Unreachable(_) | Self::Answer(_) | Self::Lagging { .. } => {
                ExitCode::from(UNKNOWN)
            }
        }
    }
}

const fn refused(code: ErrorCode) -> u8 {
    match code {
        ErrorCode::Usage => USAGE,
        ErrorCode::Unavailable | ErrorCode::Unknown => UNKNOWN,
        ErrorCode::Denied | ErrorCode::Conflict | ErrorCode::Missing | ErrorCode::Refused => {
            REFUSED
        }
    }
}
