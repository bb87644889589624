//! Handing callers' connections on to a larger gateway of the zone, byte by byte.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use mulberryyoke_event::{Event, log};
use tokio::io::copy_bidirectional_with_sizes;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::core::Core;
use crate::socket;

/// Longest time to connect to another gateway: it is in the same zone.
const CONNECT: Duration = Duration::from_millis(100);

/// Gateways that are asked before a connection is served here.
const ASKED: usize = 2;

/// Buffers for what a caller sends and for what it gets, in bytes: a head with a short prompt,
/// and some events.
const BUFFERS: (usize, usize) = (2 << 10, 4 << 10);

/// A connection to a gateway that takes over one of a caller; `None` if there is none.
pub(crate) async fn open(core: &Core) -> Option<TcpStream> {
    for target in core.exchange.larger().into_iter().take(ASKED) {
        match timeout(CONNECT, TcpStream::connect(target)).await {
            Ok(Ok(stream)) => {
                if let Err(error) = socket::tune(&stream) {
                    note(core, target, &error.to_string());
                    continue;
                }
                metrics::counter!("handed_on_total").increment(1);
                return Some(stream);
            }
            Ok(Err(error)) => note(core, target, &error.to_string()),
            Err(_) => note(core, target, "no connection in time"),
        }
    }
    None
}

fn note(core: &Core, target: SocketAddr, error: &str) {
    log!(core.logger, Event::HandoffFailed, "address" => target.to_string(), "error" => error);
}

/// Passes bytes on between a caller and the gateway that serves it until one of them closes.
pub(crate) async fn pass(core: Arc<Core>, mut caller: TcpStream, mut gateway: TcpStream) {
    let (up, down) = BUFFERS;
    let passed = copy_bidirectional_with_sizes(&mut caller, &mut gateway, up, down);
    tokio::select! {
        // How a connection fails is seen by both ends of it.
        _ = passed => {}
        () = core.stop.end.cancelled() => {}
    }
}
