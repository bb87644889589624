//! Runs the stand-in of an inference engine.

use std::net::SocketAddr;
use std::time::Duration;

use gumdrop::Options;
use mulberryyoke_standin::engine::{Engine, Settings};

#[derive(Debug, Options)]
struct Flags {
    #[options(help = "show this help")]
    help: bool,
    #[options(help = "address to listen on", default = "127.0.0.1:0")]
    listen: SocketAddr,
    #[options(help = "model it serves, repeatable")]
    model: Vec<String>,
    #[options(help = "requests run at once", default = "8")]
    batch: usize,
    #[options(help = "time of one token, in milliseconds", default = "10")]
    token_ms: u64,
    #[options(
        help = "how long a stream goes on unread, in milliseconds",
        default = "1000"
    )]
    keep_ms: u64,
    #[options(help = "obey orders with an old fencing number")]
    no_fencing: bool,
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let flags = Flags::parse_args_default_or_exit();
    let defaults = Settings::default();
    let models = if flags.model.is_empty() {
        defaults.models.clone()
    } else {
        flags.model
    };
    let settings = Settings {
        models,
        batch_size: flags.batch,
        token_time: Duration::from_millis(flags.token_ms),
        resume_timeout: Duration::from_millis(flags.keep_ms),
        fencing: !flags.no_fencing,
        ..defaults
    };
    let engine = Engine::bind(flags.listen, settings).await?;
    println!("listening {}", engine.address());
    tokio::signal::ctrl_c().await
}
