//! Command line of the daemon; the doc comments are the `--help` texts.

use std::path::PathBuf;

use gumdrop::Options;

/// Routes language model traffic.
///
/// Example: mulberryyoked router --settings router.json
#[derive(Debug, Options)]
pub(crate) struct Args {
    /// print this help
    pub(crate) help: bool,
    /// print the version
    #[options(no_short)]
    pub(crate) version: bool,
    /// what to run
    #[options(command)]
    pub(crate) role: Option<Role>,
}

/// What the process does.
#[derive(Debug, Options)]
pub(crate) enum Role {
    /// take callers' requests on an entry VM and send them straight to servers
    Gateway(Gateway),
    /// take callers' requests on an entry VM
    Router(Router),
    /// start requests on the backend server beside it
    Sidecar(Sidecar),
    /// check a settings file without starting
    Check(Check),
}

/// Takes callers' requests on an entry VM and sends them straight to servers.
///
/// Example: mulberryyoked gateway --settings gateway.json
#[derive(Debug, Options)]
pub(crate) struct Gateway {
    /// print this help
    pub(crate) help: bool,
    /// the settings file, in JSON
    #[options(required, meta = "FILE")]
    pub(crate) settings: PathBuf,
}

/// Takes callers' requests on an entry VM.
///
/// Example: mulberryyoked router --settings router.json
#[derive(Debug, Options)]
pub(crate) struct Router {
    /// print this help
    pub(crate) help: bool,
    /// the settings file, in JSON
    #[options(required, meta = "FILE")]
    pub(crate) settings: PathBuf,
}

/// Starts requests on the backend server beside it.
///
/// Example: mulberryyoked sidecar --settings sidecar.json
#[derive(Debug, Options)]
pub(crate) struct Sidecar {
    /// print this help
    pub(crate) help: bool,
    /// the settings file, in JSON
    #[options(required, meta = "FILE")]
    pub(crate) settings: PathBuf,
}

/// Checks a settings file without starting.
///
/// Example: mulberryyoked check --role router router.json
#[derive(Debug, Options)]
pub(crate) struct Check {
    /// print this help
    pub(crate) help: bool,
    /// gateway, router or sidecar; found out from the file when absent
    #[options(meta = "ROLE")]
    pub(crate) role: Option<mulberryyoke_settings::Role>,
    /// the settings file, in JSON
    #[options(free, required)]
    pub(crate) file: PathBuf,
}
