//! Handoff of callers' connections to a larger gateway of the zone, by forwarding their bytes.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use mulberryyoke_event::{Event, log};
use mulberryyoke_wire::handoff::{self, Greeting};
use tokio::io::{AsyncReadExt, AsyncWriteExt, copy_bidirectional_with_sizes};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::core::Core;
use crate::socket;

/// Timeout for connecting to another gateway of the zone.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Timeout for connecting and the handshake. Allows for the scheduling delay of an overloaded node.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(600);

/// Buffer sizes per connection for requests and for responses, in bytes.
const BUFFER_BYTES: (usize, usize) = (2 << 10, 4 << 10);

/// Connects to a gateway that takes over a caller's connection; returns `None` if there is none.
pub(crate) async fn connect(core: &Core) -> Option<TcpStream> {
    for target in core.exchange.handoff_targets() {
        match timeout(HANDSHAKE_TIMEOUT, handshake(core, target)).await {
            Ok(Ok(stream)) => {
                metrics::counter!("handed_on_total").increment(1);
                return Some(stream);
            }
            Ok(Err(error)) => log_failure(core, target, &error.to_string()),
            Err(_) => log_failure(core, target, "handshake timed out"),
        }
    }
    None
}

/// Asks a gateway to take over a connection. The gateway accepts and replies with its configuration
/// version if that is at least the latest version known to this node, so that callers do not see a
/// change undone.
async fn handshake(core: &Core, target: SocketAddr) -> io::Result<TcpStream> {
    let mut stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(target)).await??;
    socket::configure(&stream)?;
    send(&mut stream, core.view.latest_version()).await?;
    let version = receive(&mut stream).await?;
    core.view.record_peer_version(version);
    Ok(stream)
}

async fn send(stream: &mut TcpStream, version: u64) -> io::Result<()> {
    stream.write_all(&Greeting { version }.encode()).await
}

/// Reads a greeting. Fails if the address of a former gateway now belongs to another service.
async fn receive(stream: &mut TcpStream) -> io::Result<u64> {
    let mut bytes = [0; handoff::LENGTH];
    stream.read_exact(&mut bytes).await?;
    let greeting = Greeting::decode(bytes);
    let greeting = greeting.ok_or_else(|| io::Error::other("peer is not a gateway"))?;
    Ok(greeting.version)
}

/// Takes over a connection from another gateway; returns `false` if that gateway knows a newer
/// configuration.
pub(crate) async fn accept(core: &Core, stream: &mut TcpStream) -> bool {
    let handshake = async {
        let min_version = receive(stream).await?;
        let version = core.view.config().map_or(0, |config| config.version());
        let accepts = version > 0 && version >= min_version && !core.view.is_superseded();
        if accepts {
            send(stream, version).await?;
        }
        Ok::<_, io::Error>(accepts)
    };
    // A gateway that closes early serves the connection itself.
    matches!(timeout(HANDSHAKE_TIMEOUT, handshake).await, Ok(Ok(true)))
}

fn log_failure(core: &Core, target: SocketAddr, error: &str) {
    log!(core.logger, Event::HandoffFailed, "address" => target.to_string(), "error" => error);
}

/// Forwards bytes between a caller and the gateway that serves it until both directions are
/// closed or one fails.
pub(crate) async fn forward(core: Arc<Core>, mut caller: TcpStream, mut gateway: TcpStream) {
    let (up, down) = BUFFER_BYTES;
    let copied = copy_bidirectional_with_sizes(&mut caller, &mut gateway, up, down);
    tokio::select! {
        // Both ends observe errors themselves.
        _ = copied => {}
        () = core.shutdown.terminate.cancelled() => {}
    }
}
