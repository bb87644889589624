//! Starts a fleet of real processes on loopback, drives a load and prints what
//! it showed as one JSON object in the last line.

use std::process::ExitCode;

use gumdrop::Options;
use mulberryyoke_standin::fleet::{self, Flags};

#[tokio::main]
async fn main() -> ExitCode {
    let flags = Flags::parse_args_default_or_exit();
    match fleet::run(flags).await {
        Ok(report) => {
            let line = serde_json::to_string(&report);
            println!("{}", line.expect("reports have a JSON form"));
            ExitCode::from(u8::from(!report.is_clean()))
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
