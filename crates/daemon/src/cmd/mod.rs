//! Subcommands of the daemon.

mod check;
mod gateway;
mod router;
mod sidecar;
mod signal;

use std::future::Future;

use mulberryyoke_event::Format;
use mulberryyoke_settings::LogFormat;
use tokio::runtime::Builder;

use crate::args::{Args, Role};
use crate::error::Error;

/// Runs the subcommand.
///
/// # Errors
///
/// See [`Error`].
pub(crate) fn run(args: &Args) -> Result<(), Error> {
    if args.version {
        println!("mulberryyoked {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    match &args.role {
        Some(Role::Gateway(options)) => gateway::run(options),
        Some(Role::Router(options)) => router::run(options),
        Some(Role::Sidecar(options)) => sidecar::run(options),
        Some(Role::Check(options)) => check::run(options),
        None => Err(Error::Usage(
            "missing subcommand: expected gateway, router, sidecar or check".to_owned(),
        )),
    }
}

/// Runs a role on a multi-threaded runtime until it ends.
fn block_on(role: impl Future<Output = Result<(), Error>>) -> Result<(), Error> {
    let runtime = Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(Error::Runtime)?;
    runtime.block_on(role)
}

/// Converts the log format of the settings.
const fn log_format(log: LogFormat) -> Format {
    match log {
        LogFormat::Json => Format::Json,
        LogFormat::Terminal => Format::Terminal,
    }
}
