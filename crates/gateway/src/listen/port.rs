//! Taking connections at a port while the node may.

use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use hyper_util::server::graceful::GracefulShutdown;
use mulberryyoke_event::{Event, log};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use super::connection::connect;
use super::way::Way;
use crate::core::Core;
use crate::{handoff, socket};

/// Pause after a failure to accept, for example for want of file descriptors.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Time between looks for whether connections can still be handed on while a node is overloaded.
const LOOK: Duration = Duration::from_millis(200);

/// Takes connections until the port is closed. While the node has more to do than its processor
/// can, nothing listens at the port: callers are told at once and at no cost to the node, and
/// try another one. Else they wait a second for a connection and then have one more try: 48,000
/// of 200,000 tries in a minute ended so where one caller with most of a zone's traffic met one
/// small node.
pub(super) async fn take(
    core: &Arc<Core>,
    shutdown: &GracefulShutdown,
    mut listening: Option<TcpListener>,
    way: Way,
) {
    // Callers come for a while after the node said that it leaves; other gateways know better
    // ones at once.
    let closing = match way {
        Way::Direct => &core.shutdown.close,
        Way::HandedOn => &core.shutdown.drain,
    };
    while let Some(listener) = listening.take() {
        let address = listener.local_addr();
        tokio::select! {
            () = closing.cancelled() => return,
            () = accept(core, shutdown, listener, way) => {}
        }
        tokio::select! {
            () = closing.cancelled() => return,
            reopened = reopen(core, address) => listening = Some(reopened),
        }
    }
}

/// Opens the port again once the node has caught up.
async fn reopen(core: &Core, address: io::Result<SocketAddr>) -> TcpListener {
    loop {
        core.strain.wait(false).await;
        let opened = match &address {
            Ok(address) => TcpListener::bind(address).await,
            Err(error) => Err(io::Error::new(error.kind(), error.to_string())),
        };
        match opened {
            Ok(listener) => return listener,
            Err(error) => {
                log!(core.logger, Event::AcceptFailed, "error" => error.to_string());
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Takes connections until the node has more to do than its processor can.
async fn accept(core: &Arc<Core>, shutdown: &GracefulShutdown, listener: TcpListener, way: Way) {
    if let Err(error) = socket::configure(&listener) {
        log!(core.logger, Event::AcceptFailed, "error" => error.to_string());
    }
    let mut inherits = None;
    let mut strained = pin!(overloaded(core, way));
    loop {
        let accepted = tokio::select! {
            biased;
            () = &mut strained => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                let inherits = *inherits.get_or_insert_with(|| socket::is_configured(&stream));
                if inherits || is_usable(core, &stream) {
                    route(core, shutdown, stream, way);
                }
            }
            Err(error) => {
                log!(core.logger, Event::AcceptFailed, "error" => error.to_string());
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Waits until the node has more to do than its processor can and nobody to hand connections on
/// to: that it can do for many times as many as it can serve.
async fn overloaded(core: &Core, way: Way) {
    loop {
        core.strain.wait(true).await;
        if way == Way::HandedOn || !core.exchange.has_handoff_target() {
            return;
        }
        sleep(LOOK).await;
    }
}

/// Sets a connection's options; `false` if the caller has gone meanwhile.
fn is_usable(core: &Core, stream: &TcpStream) -> bool {
    let tuned = socket::configure(stream);
    if let Err(error) = &tuned {
        log!(core.logger, Event::AcceptFailed, "error" => error.to_string());
    }
    tuned.is_ok()
}

/// Serves a connection, or has a larger gateway serve it while this one is behind with its work
/// or its configuration.
fn route(core: &Arc<Core>, shutdown: &GracefulShutdown, mut stream: TcpStream, way: Way) {
    let (core, watcher) = (Arc::clone(core), shutdown.watcher());
    if way == Way::HandedOn {
        tokio::spawn(async move {
            if handoff::accept(&core, &mut stream).await {
                connect(&core, watcher, stream, way);
            }
        });
        return;
    }
    let is_behind = core.strain.is_behind() || core.view.is_superseded();
    if !is_behind || core.shutdown.drain.is_cancelled() {
        return connect(&core, watcher, stream, way);
    }
    let tracker = core.handed_on.clone();
    tracker.spawn(async move {
        match handoff::open(&core).await {
            Some(gateway) => handoff::pass(core, stream, gateway).await,
            None => connect(&core, watcher, stream, way),
        }
    });
}
