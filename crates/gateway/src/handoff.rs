//! Handoff of callers' connections to a larger gateway of the zone, by forwarding their bytes.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use mulberryyoke_event::{Event, log};
use mulberryyoke_wire::handoff::{self, Greeting};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader, copy_buf};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::core::Core;
use crate::socket;

/// Timeout for connecting to another gateway of the zone.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Timeout for connecting and the handshake. With 100 ms, a small node failed 408
/// times in 14 s to hand off a connection; this allows for the scheduling delay of an overloaded node.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(600);

/// Buffer sizes per connection for requests and for responses, in bytes: a head with a short prompt,
/// and a few events.
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
    let request = Greeting {
        version: core.view.latest_version(),
        is_fresh: core.view.is_fresh(),
    };
    stream.write_all(&request.encode()).await?;
    let reply = receive(&mut stream).await?;
    core.view.record_peer_version(reply.version);
    Ok(stream)
}

/// Reads a greeting. Fails if the address of a former gateway now belongs to another service.
async fn receive(stream: &mut TcpStream) -> io::Result<Greeting> {
    let mut bytes = [0; handoff::LENGTH];
    stream.read_exact(&mut bytes).await?;
    Greeting::decode(bytes).ok_or_else(|| io::Error::other("peer is not a gateway"))
}

/// Takes over a connection from another gateway; returns `false` if that gateway knows a newer
/// configuration, or if only that gateway knows which servers have left.
pub(crate) async fn accept(core: &Core, stream: &mut TcpStream) -> bool {
    let handshake = async {
        let request = receive(stream).await?;
        let version = core.view.config().map_or(0, |config| config.version());
        let is_fresh = core.view.is_fresh();
        // While no gateway reaches the key-value service, handoffs go on.
        let accepts = version > 0
            && version >= request.version
            && !core.view.is_superseded()
            && (is_fresh || !request.is_fresh);
        if accepts {
            let reply = Greeting { version, is_fresh };
            stream.write_all(&reply.encode()).await?;
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
/// closed or one fails. The caller's connection is reset unless the gateway has closed its own in
/// order: without chunks only that tells that a response is incomplete.
pub(crate) async fn forward(core: Arc<Core>, mut caller: TcpStream, mut gateway: TcpStream) {
    let is_whole = AtomicBool::new(false);
    tokio::select! {
        // Both ends observe errors themselves.
        _ = copy(&mut caller, &mut gateway, &is_whole) => {}
        () = core.shutdown.terminate.cancelled() => {}
    }
    if !is_whole.load(Ordering::Relaxed) {
        // Fails only if the connection is closed already.
        let _ = caller.set_zero_linger();
    }
}

/// Copies both directions, and sets `is_whole` once the gateway has closed its own.
async fn copy(
    caller: &mut TcpStream,
    gateway: &mut TcpStream,
    is_whole: &AtomicBool,
) -> io::Result<()> {
    let (caller_reader, mut caller_writer) = caller.split();
    let (gateway_reader, mut gateway_writer) = gateway.split();
    let requests = async {
        let mut reader = BufReader::with_capacity(BUFFER_BYTES.0, caller_reader);
        copy_buf(&mut reader, &mut gateway_writer).await?;
        gateway_writer.shutdown().await
    };
    let responses = async {
        let mut reader = BufReader::with_capacity(BUFFER_BYTES.1, gateway_reader);
        copy_buf(&mut reader, &mut caller_writer).await?;
        is_whole.store(true, Ordering::Relaxed);
        caller_writer.shutdown().await
    };
    tokio::try_join!(requests, responses)?;
    Ok(())
}
