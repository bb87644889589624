//! Options of the client. The doc comments are the help texts.

use std::net::SocketAddr;
use std::path::PathBuf;

use gumdrop::Options;

/// Queries and configures a mulberryyoke fleet through the operator port of any
/// router.
///
/// Exit codes: 0 success, 1 command rejected or conflict, 2 usage error, 3 no router
/// reachable, outcome unknown, or change not yet applied by every node.
///
/// Example: mulberryyoke --router 10.0.0.4:7003 --key-file ~/.mulberryyoke status
#[derive(Debug, Options)]
#[options(no_short)]
pub(crate) struct Args {
    /// print this help
    #[options(short = "h")]
    pub(crate) help: bool,
    /// print the version
    #[options(short = "V")]
    pub(crate) version: bool,
    /// operator port of a router; may be given several times, tried in order (default: `MULBERRYYOKE_ROUTER`, else 127.0.0.1:7003)
    #[options(meta = "IP:PORT")]
    pub(crate) router: Vec<SocketAddr>,
    /// file with the operator's bearer key (default: the key in `MULBERRYYOKE_KEY`)
    #[options(meta = "FILE")]
    pub(crate) key_file: Option<PathBuf>,
    /// time limit for the command, including --wait
    #[options(meta = "SECONDS", default = "30")]
    pub(crate) timeout: u64,
    /// ID of an earlier command, in hexadecimal, for sending it again
    #[options(meta = "ID", parse(try_from_str = "command_id"))]
    pub(crate) command: Option<u64>,
    /// command and its arguments
    #[options(free)]
    pub(crate) words: Vec<String>,
}

/// Checks a settings file without starting the daemon.
///
/// Example: mulberryyoke check --role router router.json
#[derive(Debug, Options)]
#[options(no_short)]
pub(crate) struct Check {
    /// print this help
    #[options(short = "h")]
    pub(crate) help: bool,
    /// gateway, router or sidecar (default: detected from the file)
    #[options(meta = "ROLE")]
    pub(crate) role: Option<mulberryyoke_settings::Role>,
    /// settings file in JSON
    #[options(free, required)]
    pub(crate) file: PathBuf,
}

fn command_id(text: &str) -> Result<u64, String> {
    u64::from_str_radix(text, 16)
        .map_err(|_| "expected a hexadecimal number of at most 16 digits".to_owned())
}
