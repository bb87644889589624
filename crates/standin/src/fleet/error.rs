//! Errors of the launcher.

use std::io;

use displaydoc::Display;

/// Why a run could not be made.
#[derive(Debug, Display)]
pub enum Error {
    /// could not build mulberryyoked: {0}
    Build(String),
    /// could not start {name}: {source}
    Start {
        /// The process or stand-in.
        name: String,
        /// What the operating system said.
        source: io::Error,
    },
    /// could not see {name} become ready; its last log lines:
    /// {log}
    Ready {
        /// The process.
        name: String,
        /// End of its log.
        log: String,
    },
    /// could not carry out operators' command {words}: {reason}
    Command {
        /// Words of the command.
        words: String,
        /// The answer.
        reason: String,
    },
    /// could not write settings: {0}
    Settings(io::Error),
    /// stopped by a signal
    Interrupted,
}

impl std::error::Error for Error {}
