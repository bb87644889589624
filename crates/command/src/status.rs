//! Command that shows the state of the fleet.

use gumdrop::Options;

/// Shows every router and server with its configuration revision and load.
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
