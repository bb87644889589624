//! Handing callers' connections on to a larger gateway of the zone, byte by byte.

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

/// Longest time to connect to another gateway: it is in the same zone.
const CONNECT: Duration = Duration::from_millis(200);

/// Longest time until the two have agreed. A node that is behind is late with that as well: with
/// 100 ms one small node failed 408 times in 14 s to hand a connection on, and served it though
/// it had no room; with this time it did not fail once.
const AGREE: Duration = Duration::from_millis(600);

/// Buffers for what a caller sends and for what it gets, in bytes: a head with a short prompt,
/// and some events.
const BUFFERS: (usize, usize) = (2 << 10, 4 << 10);

/// A connection to a gateway that takes over one of a caller; `None` if there is none.
pub(crate) async fn open(core: &Core) -> Option<TcpStream> {
    for target in core.exchange.handoff_targets() {
        match timeout(AGREE, ask(core, target)).await {
            Ok(Ok(stream)) => {
                metrics::counter!("handed_on_total").increment(1);
                return Some(stream);
            }
            Ok(Err(error)) => note(core, target, &error.to_string()),
            Err(_) => note(core, target, "no answer in time"),
        }
    }
    None
}

/// Asks a gateway to take over a connection. It does if its configuration is as new as what
/// callers of this one were answered by, and tells its version: each node learns of a change at
/// another moment, and a caller must not see it undone.
async fn ask(core: &Core, target: SocketAddr) -> io::Result<TcpStream> {
    let mut stream = timeout(CONNECT, TcpStream::connect(target)).await??;
    socket::configure(&stream)?;
    send(&mut stream, core.view.latest_version()).await?;
    let version = receive(&mut stream).await?;
    core.view.record_peer_version(version);
    Ok(stream)
}

async fn send(stream: &mut TcpStream, version: u64) -> io::Result<()> {
    stream.write_all(&Greeting { version }.encode()).await
}

/// Reads a version. The address of a gateway that is gone may belong to a process that is none:
/// what that says is no version.
async fn receive(stream: &mut TcpStream) -> io::Result<u64> {
    let mut bytes = [0; handoff::LENGTH];
    stream.read_exact(&mut bytes).await?;
    let greeting = Greeting::decode(bytes);
    let greeting = greeting.ok_or_else(|| io::Error::other("what answered is no gateway"))?;
    Ok(greeting.version)
}

/// Takes over a connection from another gateway; `false` if its callers were answered by a later
/// configuration.
pub(crate) async fn accept(core: &Core, stream: &mut TcpStream) -> bool {
    let agreed = async {
        let least = receive(stream).await?;
        let version = core.view.plan().map_or(0, |plan| plan.version());
        let may = version > 0 && version >= least && !core.view.is_superseded();
        if may {
            send(stream, version).await?;
        }
        Ok::<_, io::Error>(may)
    };
    // One that asks no further has served the connection itself.
    matches!(timeout(AGREE, agreed).await, Ok(Ok(true)))
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
        () = core.shutdown.terminate.cancelled() => {}
    }
}
