//! Runs the stand-in of the key-value service.

use std::net::SocketAddr;

use gumdrop::Options;
use mulberryyoke_standin::kv::Store;

/// Command line.
#[derive(Debug, Options)]
struct Flags {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "where to listen")]
    listen: Option<SocketAddr>,
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let flags = Flags::parse_args_default_or_exit();
    let address = flags.listen.unwrap_or(([127, 0, 0, 1], 0).into());
    let handle = Store::bind(address).await?;
    println!("listening {}", handle.address());
    tokio::signal::ctrl_c().await
}
