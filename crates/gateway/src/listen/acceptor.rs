//! Accepting connections on a port while the node is not overloaded.

use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use hyper_util::server::graceful::GracefulShutdown;
use mulberryyoke_event::{Event, log};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use super::connection::serve;
use super::origin::Origin;
use crate::core::Core;
use crate::{handoff, socket};

/// Delay after a failure to accept, for example for lack of file descriptors.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Interval at which an overloaded node checks for handoff targets.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Accepts connections until the port is closed for good. The listener is closed while the node is
/// overloaded: the kernel then refuses connections at no cost to the node, and callers try another
/// node at once instead of after a connect timeout.
pub(super) async fn run(
    core: &Arc<Core>,
    connections: &GracefulShutdown,
    mut listener: Option<TcpListener>,
    origin: Origin,
) {
    // The balancer keeps sending callers until it notices the drain; other gateways fall back at
    // once.
    let close = match origin {
        Origin::Direct => &core.shutdown.close,
        Origin::HandedOff => &core.shutdown.drain,
    };
    while let Some(open) = listener.take() {
        let address = open.local_addr();
        tokio::select! {
            () = close.cancelled() => return,
            () = accept(core, connections, open, origin) => {}
        }
        tokio::select! {
            () = close.cancelled() => return,
            reopened = reopen(core, address) => listener = Some(reopened),
        }
    }
}

/// Listens on the port again once the node is no longer overloaded.
async fn reopen(core: &Core, address: io::Result<SocketAddr>) -> TcpListener {
    loop {
        core.overload.wait_for(false).await;
        let result = match &address {
            Ok(address) => TcpListener::bind(address).await,
            Err(error) => Err(io::Error::new(error.kind(), error.to_string())),
        };
        match result {
            Ok(listener) => return listener,
            Err(error) => {
                log!(core.logger, Event::AcceptFailed, "error" => error.to_string());
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Accepts connections until [`overloaded`] resolves.
async fn accept(
    core: &Arc<Core>,
    connections: &GracefulShutdown,
    listener: TcpListener,
    origin: Origin,
) {
    if let Err(error) = socket::configure(&listener) {
        log!(core.logger, Event::AcceptFailed, "error" => error.to_string());
    }
    let mut inherits = None;
    let mut overloaded = pin!(overloaded(core, origin));
    loop {
        let accepted = tokio::select! {
            biased;
            () = &mut overloaded => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                let inherits = *inherits.get_or_insert_with(|| socket::is_configured(&stream));
                if inherits || configure(core, &stream) {
                    route(core, connections, stream, origin);
                }
            }
            Err(error) => {
                log!(core.logger, Event::AcceptFailed, "error" => error.to_string());
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Waits until the node is overloaded and has no handoff target. With one it keeps accepting, as
/// handing off a connection costs far less than serving it.
async fn overloaded(core: &Core, origin: Origin) {
    loop {
        core.overload.wait_for(true).await;
        if origin == Origin::HandedOff || !core.exchange.has_handoff_target() {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Sets a connection's options; returns `false` if that fails, as when the caller has disconnected.
fn configure(core: &Core, stream: &TcpStream) -> bool {
    let result = socket::configure(stream);
    if let Err(error) = &result {
        log!(core.logger, Event::AcceptFailed, "error" => error.to_string());
    }
    result.is_ok()
}

/// Serves a connection, or hands it off to a larger gateway while this one is overloaded or its
/// configuration is outdated.
fn route(core: &Arc<Core>, connections: &GracefulShutdown, mut stream: TcpStream, origin: Origin) {
    let (core, watcher) = (Arc::clone(core), connections.watcher());
    if origin == Origin::HandedOff {
        tokio::spawn(async move {
            if handoff::accept(&core, &mut stream).await {
                serve(&core, watcher, stream, origin);
            }
        });
        return;
    }
    let hands_off = core.overload.hands_off() || core.view.is_superseded();
    if !hands_off || core.shutdown.drain.is_cancelled() {
        return serve(&core, watcher, stream, origin);
    }
    let tracker = core.handoffs.clone();
    tracker.spawn(async move {
        match handoff::connect(&core).await {
            Some(gateway) => handoff::forward(core, stream, gateway).await,
            None => serve(&core, watcher, stream, origin),
        }
    });
}
