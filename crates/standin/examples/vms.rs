//! The platform's VM list.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use gumdrop::Options;
use mulberryyoke_platform::vm::Vm;
use mulberryyoke_standin::vms::{List, Update};

/// Command line.
#[derive(Debug, Options)]
struct Line {
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
    let line = Line::parse_args_default_or_exit();
    let address = line.listen.unwrap_or(([127, 0, 0, 1], 0).into());
    let handle = List::bind(address, read(line.vms)?).await?;
    handle.update(Update {
        lag_ms: Some(line.lag_ms),
        ..Update::default()
    });
    println!("listening {}", handle.address());
    tokio::signal::ctrl_c().await
}

fn read(path: Option<PathBuf>) -> io::Result<Vec<Vm>> {
    let Some(path) = path else {
        return Ok(Vec::new());
    };
    Ok(serde_json::from_str(&fs::read_to_string(path)?)?)
}
