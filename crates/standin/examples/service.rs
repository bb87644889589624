//! Runs the stand-in of a plain service.

use std::net::SocketAddr;
use std::time::Duration;

use gumdrop::Options;
use mulberryyoke_standin::service::Service;

#[derive(Debug, Options)]
struct Flags {
    #[options(help = "show this help")]
    help: bool,
    #[options(help = "address to listen on", default = "127.0.0.1:0")]
    listen: SocketAddr,
    #[options(help = "time of one call, in milliseconds", default = "20")]
    latency_ms: u64,
    #[options(help = "tokens that a call counts as", default = "10")]
    cost: u32,
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let flags = Flags::parse_args_default_or_exit();
    let latency = Duration::from_millis(flags.latency_ms);
    let service = Service::bind(flags.listen, latency, flags.cost).await?;
    println!("listening {}", service.address());
    tokio::signal::ctrl_c().await
}
