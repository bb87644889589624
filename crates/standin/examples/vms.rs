//! Runs the stand-in of the platform's VM list.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use gumdrop::Options;
use mulberryyoke_platform::vm::Vm;
use mulberryyoke_standin::vms::{List, Update};

/// Command line.
#[derive(Debug, Options)]
struct Flags {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "where to listen")]
    listen: Option<SocketAddr>,
    #[options(help = "JSON file with the first VMs, an array")]
    vms: Option<PathBuf>,
    #[options(help = "milliseconds before a later change shows")]
    lag_ms: u64,
}

#[tokio::main]
async fn main() -> io::Result<()> {
    let flags = Flags::parse_args_default_or_exit();
    let address = flags.listen.unwrap_or(([127, 0, 0, 1], 0).into());
    let handle = List::bind(address, read_vms(flags.vms)?).await?;
    handle.update(Update {
        lag_ms: Some(flags.lag_ms),
        ..Update::default()
    });
    println!("listening {}", handle.address());
    tokio::signal::ctrl_c().await
}

fn read_vms(path: Option<PathBuf>) -> io::Result<Vec<Vm>> {
    let Some(path) = path else {
        return Ok(Vec::new());
    };
    Ok(serde_json::from_str(&fs::read_to_string(path)?)?)
}
