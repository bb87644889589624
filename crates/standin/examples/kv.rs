//! A key-value service in memory behind the JSON gateway of etcd v3.

use std::net::SocketAddr;

use gumdrop::Options;
use mulberryyoke_standin::kv::Store;

/// Command line.
#[derive(Debug, Options)]
struct Line {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "where to listen")]
    listen: Option<SocketAddr>,
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let line = Line::parse_args_default_or_exit();
    let address = line.listen.unwrap_or(([127, 0, 0, 1], 0).into());
    let handle = Store::bind(address).await?;
    println!("listening {}", handle.address());
    tokio::signal::ctrl_c().await
}
