//! Errors of the launcher.

use std::io;

use displaydoc::Display;

/// Errors that abort a run.
#[derive(Debug, Display)]
pub enum Error {
    /// failed to build mulberryyoked: {0}
    Build(String),
    /// failed to start {name}: {source}
    Start {
        /// Name of the process or stand-in.
        name: String,
        /// I/O error.
        source: io::Error,
    },
    /// {name} did not become ready; end of its log:
    /// {log}
    Ready {
        /// Name of the process.
        name: String,
        /// End of its log.
        log: String,
    },
    /// operator command `{words}` failed: {reason}
    Command {
        /// Words of the command.
        words: String,
        /// Error message.
        reason: String,
    },
    /// failed to write settings: {0}
    Settings(io::Error),
    /// failed to register a signal handler: {0}
    Signal(io::Error),
    /// interrupted by a signal
    Interrupted,
}

impl std::error::Error for Error {}
