//! Command-line client for operators of mulberryyoke.

mod args;
mod cmd;
mod error;
mod http;
mod print;
mod rollout;
mod session;

use std::process::ExitCode;

fn main() -> ExitCode {
    match cmd::run(std::env::args().skip(1)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error.print();
            error.exit_code()
        }
    }
}
