//! The mulberryyoke daemon: `mulberryyoked gateway` or `mulberryyoked router` on an
//! entry VM, `mulberryyoked sidecar` beside a backend server.

mod args;
mod cmd;
mod error;

use std::process::ExitCode;

use gumdrop::Options;

use crate::args::Args;

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    match cmd::run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mulberryyoked: {error}");
            error.exit_code()
        }
    }
}
