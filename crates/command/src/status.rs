//! The command on the state of the fleet.

use gumdrop::Options;

/// Shows every router and server with the configuration revision in force on it,
/// and the load.
///
/// Example: mulberryyoke status
#[derive(Clone, Debug, PartialEq, Eq, Options)]
#[options(no_short)]
pub struct Status {
    /// print this help
    pub help: bool,
    /// only nodes that are behind this revision
    #[options(meta = "REVISION")]
    pub behind: Option<u64>,
    /// print JSON
    pub json: bool,
}
