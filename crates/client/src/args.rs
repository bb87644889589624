//! The client's own options; the doc comments are the help.

use std::net::SocketAddr;
use std::path::PathBuf;

use gumdrop::Options;

/// Asks and changes a fleet of mulberryyoke through the operator port of any of
/// its routers.
///
/// Exit codes: 0 done, 1 refused or conflict, 2 wrong usage, 3 no router reached,
/// outcome unknown, or not yet in force everywhere.
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
    /// operator port of a router; several are tried in turn (else `MULBERRYYOKE_ROUTER`, else 127.0.0.1:7003)
    #[options(meta = "IP:PORT")]
    pub(crate) router: Vec<SocketAddr>,
    /// file with the operator's bearer key (else `MULBERRYYOKE_KEY` is the key)
    #[options(meta = "FILE")]
    pub(crate) key_file: Option<PathBuf>,
    /// longest time for the command and its --wait
    #[options(meta = "SECONDS", default = "30")]
    pub(crate) timeout: u64,
    /// identity of an earlier command, in hex, to send it again
    #[options(meta = "ID", parse(try_from_str = "hex"))]
    pub(crate) command: Option<u64>,
    /// the words of a command
    #[options(free)]
    pub(crate) words: Vec<String>,
}

/// Checks a settings file of the daemon without starting it.
///
/// Example: mulberryyoke check --role router router.json
#[derive(Debug, Options)]
#[options(no_short)]
pub(crate) struct Check {
    /// print this help
    #[options(short = "h")]
    pub(crate) help: bool,
    /// gateway, router or sidecar; found out from the file when absent
    #[options(meta = "ROLE")]
    pub(crate) role: Option<mulberryyoke_settings::Role>,
    /// the settings file, in JSON
    #[options(free, required)]
    pub(crate) file: PathBuf,
}

fn hex(text: &str) -> Result<u64, String> {
    u64::from_str_radix(text, 16).map_err(|_| "a hexadecimal number is needed".to_owned())
}
