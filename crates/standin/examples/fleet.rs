//! Runs a fleet of real processes on the loopback address under load, and prints the report as a
//! JSON object in the last line.

use std::process::ExitCode;

use gumdrop::Options;
use mulberryyoke_standin::fleet::{self, Flags};

#[tokio::main]
async fn main() -> ExitCode {
    let flags = Flags::parse_args_default_or_exit();
    match fleet::run(flags).await {
        Ok(report) => {
            let line = serde_json::to_string(&report);
            println!("{}", line.expect("reports can be encoded as JSON"));
            ExitCode::from(u8::from(!report.is_clean()))
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
