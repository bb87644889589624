//! Commands on the configuration.

use gumdrop::Options;

/// The accepted configuration and its latest writes.
#[derive(Clone, Debug, PartialEq, Eq, Options)]
#[options(no_short)]
pub struct Config {
    /// print this help
    pub help: bool,
    /// subcommand
    #[options(command, required)]
    pub action: Option<Action>,
}

/// Subcommands on the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Options)]
pub enum Action {
    /// who wrote what, newest first
    History(History),
    /// all that is configured, as JSON
    Show(Show),
}

/// Lists writes, newest first, with revision, operator and command ID. Each key
/// keeps its latest write and the eight before it; the values of those eight are
/// not stored, only their revision, operator, time and command.
///
/// Example: mulberryyoke config history --key server/m-3
#[derive(Clone, Debug, PartialEq, Eq, Options)]
#[options(no_short)]
pub struct History {
    /// print this help
    pub help: bool,
    /// only keys with this prefix, for example customer/ or server/m-3
    #[options(meta = "PREFIX")]
    pub key: String,
    /// maximum number of writes to list
    #[options(meta = "N", default = "50")]
    pub limit: u32,
    /// print JSON
    pub json: bool,
}

/// Shows the configuration that the router has applied.
///
/// Example: mulberryyoke config show --json
#[derive(Clone, Debug, PartialEq, Eq, Options)]
#[options(no_short)]
pub struct Show {
    /// print this help
    pub help: bool,
    /// only keys with this prefix, for example customer/
    #[options(meta = "PREFIX")]
    pub key: String,
    /// print JSON
    pub json: bool,
}

impl Action {
    pub(crate) const fn json(&self) -> bool {
        match self {
            Self::History(history) => history.json,
            Self::Show(show) => show.json,
        }
    }
}
