//! Fatal errors of the daemon.

use std::io;
use std::process::ExitCode;

use displaydoc::Display;
use mulberryyoke_settings as settings;
use mulberryyoked::{router, sidecar};

/// Exit code for an invalid command line or invalid settings.
const USAGE: u8 = 2;

/// A fatal error.
#[derive(Debug, Display)]
pub(crate) enum Error {
    /// could not read command line: {0}
    Usage(String),
    /// {0}
    Settings(settings::Error),
    /// could not start runtime: {0}
    Runtime(io::Error),
    /// could not wait for signals: {0}
    Signal(io::Error),
    /// could not run gateway: {0}
    Gateway(mulberryyoke_gateway::Error),
    /// could not run router: {0}
    Router(router::Error),
    /// could not run sidecar: {0}
    Sidecar(sidecar::Error),
}

impl std::error::Error for Error {}

impl Error {
    pub(crate) fn exit_code(&self) -> ExitCode {
        match self {
            Self::Usage(_) | Self::Settings(_) => ExitCode::from(USAGE),
            Self::Runtime(_)
            | Self::Signal(_)
            | Self::Gateway(_)
            | Self::Router(_)
            | Self::Sidecar(_) => ExitCode::FAILURE,
        }
    }
}
